/// @file main.c
/// Entry point of knapweedbayd: parses the command line, loads the settings
/// and starts the role.
#include <argtable2.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/agent.h"
#include "daemon/daemon.h"
#include "daemon/entry.h"
#include "gateway/gateway.h"
#include "platform.h"
#include "sidecar/sidecar.h"

enum
{
  /// Larger buffers get their own mapping, which is unmapped on free. glibc
  /// raises its default threshold with each freed mapping, so that after the
  /// first configuration document of 0.3 MB the heap would keep the memory.
  MMAP_THRESHOLD_BYTES = 64 << 10,
  /// Free memory at the top of the heap that isn't returned to the system.
  TRIM_THRESHOLD_BYTES = 128 << 10,
};

static const char version_text[] = "knapweedbayd 0.1.0";

static int
report_failure (kb_status_t status, const kb_error_t *error)
{
  fprintf (stderr, "knapweedbayd: %s\n", error->message);
  return status == KB_EINVAL ? DMN_EXIT_SETTINGS : DMN_EXIT_START_FAILED;
}

/// Run a role with the product's own interface (OpenAI API, LoRA adapters).
static int
run_openai_role (const set_settings_t *settings)
{
  static dmn_daemon_t daemon;
  kb_error_t error = { 0 };
  daemon.settings = *settings;
  kb_status_t status = settings->role == SET_ROLE_ENTRY
                           ? ent_start (&daemon, &error)
                           : agt_start (&daemon, &error);
  return status == KB_OK ? dmn_run (&daemon) : report_failure (status, &error);
}

/// Run a role of the `relay` interface, which forwards requests by the
/// conventions of a deployment.
static int
run_relay_role (const set_settings_t *settings, const char *path)
{
  kb_error_t error = { 0 };
  if (settings->role == SET_ROLE_ENTRY)
    {
      gtw_gateway_t *gateway
          = gtw_gateway_start (settings, path, &plt_deployment, &error);
      return gateway != NULL ? gtw_gateway_run (gateway)
                             : report_failure (error.status, &error);
    }
  scr_sidecar_t *sidecar
      = scr_sidecar_start (settings, path, &plt_deployment, &error);
  return sidecar != NULL ? scr_sidecar_run (sidecar)
                         : report_failure (error.status, &error);
}

static int
run_role (const char *path, bool is_check_only)
{
  static set_settings_t settings;
  kb_error_t error = { 0 };
  if (set_load_file (path, &settings, &error) != KB_OK)
    return report_failure (KB_EINVAL, &error);
  if (is_check_only)
    {
      printf ("%s: ok\n", path);
      return DMN_EXIT_OK;
    }
  return strcmp (settings.interface, "relay") == 0
             ? run_relay_role (&settings, path)
             : run_openai_role (&settings);
}

static void
print_reference (void)
{
  kb_buf_t out = { 0 };
  set_write_reference (&out);
  fputs (out.ptr, stdout);
  kb_buf_finish (&out);
}

int
main (int argc, char **argv)
{
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  mallopt (M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 ("V", "version", "show the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and stop");
  struct arg_lit *reference
      = arg_lit0 (NULL, "settings-reference", "print all settings");
  struct arg_file *settings = arg_file0 (NULL, NULL, "SETTINGS",
                                         "settings file, JSON with comments");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, check, reference, settings, end };
  int errors = arg_parse (argc, argv, table);
  int code = DMN_EXIT_OK;
  if (help->count > 0)
    {
      printf ("Usage: knapweedbayd");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  else if (version->count > 0)
    puts (version_text);
  else if (reference->count > 0)
    print_reference ();
  else if (errors > 0 || settings->count == 0)
    {
      arg_print_errors (stderr, end, "knapweedbayd");
      fprintf (stderr, "Usage: knapweedbayd");
      arg_print_syntax (stderr, table, "\n");
      code = DMN_EXIT_SETTINGS;
    }
  else
    code = run_role (settings->filename[0], check->count > 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
