#include "process_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "launcher.h"

namespace relay
{

const std::string ProcessTarget::body (900, 'b');

namespace
{

std::string
read_head (int fd)
{
  std::string head;
  char bytes[4096];
  while (head.find ("\r\n\r\n") == std::string::npos)
    {
      ssize_t n = recv (fd, bytes, sizeof bytes, 0);
      if (n <= 0)
        return "";
      head.append (bytes, (size_t)n);
    }
  return head;
}

std::string
attempt_of (const std::string &head)
{
  static const std::string field = "X-Knapweedbay-Attempt-Id: ";
  size_t at = head.find (field) + field.size ();
  return head.substr (at, head.find ("\r\n", at) - at);
}

bool
has (const std::string &head, const char *text)
{
  return head.find (text) != std::string::npos;
}

void
answer (int fd, const std::string &head)
{
  std::string text
      = "HTTP/1.1 200 OK\r\nX-Knapweedbay-Attempt-Id: " + attempt_of (head)
        + "\r\nX-Knapweedbay-Server-Seal: s\r\n\r\n";
  std::string body = ProcessTarget::body;
  if (has (head, "/half"))
    body.resize (body.size () / 2);
  if (has (head, "/half-large"))
    body = std::string (ProcessTarget::kLargeBytes, 'b');
  if (has (head, "/exit"))
    {
      size_t half = body.size () / 2;
      text += body.substr (0, half);
      send (fd, text.data (), text.size (), MSG_NOSIGNAL);
      // Long enough for the gateway to learn that the target leaves.
      usleep (3 * ProcessTarget::kSlowMs * 1000);
      text.clear ();
      body = body.substr (half);
    }
  text += body;
  if (has (head, "/slow"))
    usleep (ProcessTarget::kSlowMs * 1000);
  send (fd, text.data (), text.size (), MSG_NOSIGNAL);
  if (has (head, "/half"))
    pause ();
}

void
serve (int listener, bool listens_on)
{
  for (;;)
    {
      int fd = accept (listener, nullptr, nullptr);
      std::string head = read_head (fd);
      if (!listens_on && !head.empty ())
        close (listener);
      if (!head.empty ())
        answer (fd, head);
      close (fd);
      if ((!listens_on && !head.empty ()) || has (head, "/exit"))
        _exit (0);
    }
}

} // namespace

ProcessTarget::ProcessTarget (const std::string &ip, bool listens_on)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bind (listener, (sockaddr *)&address, sizeof address);
  listen (listener, 64);
  socklen_t length = sizeof address;
  getsockname (listener, (sockaddr *)&address, &length);
  address_ = ip + ":" + std::to_string (ntohs (address.sin_port));
  pid_ = launch_process ([=] {
    // Other sockets of the test would stay open in this process.
    dup2 (listener, 3);
    close_range (4, ~0u, 0);
    serve (3, listens_on);
  });
  close (listener);
}

ProcessTarget::~ProcessTarget () { kill (); }

void
ProcessTarget::kill ()
{
  if (pid_ <= 0)
    return;
  ::kill (pid_, SIGKILL);
  waitpid (pid_, nullptr, 0);
  pid_ = 0;
}

} // namespace relay
