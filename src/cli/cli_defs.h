/// @file cli_defs.h
/// Declarations shared by the subcommands of the operators' tool.
#ifndef KB_CLI_CLI_DEFS_H
#define KB_CLI_CLI_DEFS_H

#include "protocol/cfgdoc.h"
#include "transport/kv.h"

/// Exit codes, documented in knapweedbay(1).
enum
{
  CLI_OK = 0,
  CLI_CONFLICT = 1,    ///< Conflict or difference; see the output.
  CLI_BAD_INPUT = 2,   ///< The command line or a file is invalid.
  CLI_UNAVAILABLE = 3, ///< A service did not answer; nothing was changed.
  CLI_UNKNOWN = 4,     ///< The change may have taken effect; run it again.
};

enum
{
  CLI_ADDRESS_BYTES = 64,
  CLI_MAX_DAEMONS = 64,
  CLI_MAX_FILES = 512,
};

typedef struct
{
  char kv_address[CLI_ADDRESS_BYTES];
  uint16_t kv_port;
  char daemons[CLI_MAX_DAEMONS][CLI_ADDRESS_BYTES]; ///< "ip:port"
  uint32_t daemon_count;
  char key[160]; ///< Operator or workspace key.
  char folder[512];
  const char *request_id;
  const char *files[CLI_MAX_FILES];
  uint32_t file_count;
  bool is_json;
  bool is_watch;
  uv_loop_t loop;
  tmr_service_t timers;
  htc_client_t http;
  kvc_client_t kv;
} cli_t;

/// A value read from the key-value service.
typedef struct
{
  kb_status_t status;
  bool exists;
  kb_buf_t value;
  uint64_t mod_revision;
} cli_value_t;

// cli_net.c
void cli_net_init (cli_t *cli);
/// Blocking calls to the key-value service.
cli_value_t cli_kv_get (cli_t *cli, const char *key);
kb_status_t cli_kv_put (cli_t *cli, const char *key, kb_slice_t value);
/// @param expected  The mod_revision that the key must still have; zero: the
///                  key must not exist.
kb_status_t cli_kv_cas (cli_t *cli, const char *key, uint64_t expected,
                        kb_slice_t value);
/// Send one HTTP request to a daemon, with the operator key.
/// @param body  The body of the answer is appended here.
/// @return      The HTTP status, or 0 when the daemon did not answer.
int cli_http (cli_t *cli, const char *daemon, const char *method,
              const char *path, kb_buf_t *body);
void cli_sleep_ms (uint64_t delay_ms);
/// Split "ip:port".
/// @param address  Receives the address; of CLI_ADDRESS_BYTES.
/// @return         False when the text is malformed.
bool cli_parse_address (const char *text, char *address, uint16_t *port);

// cli_config.c
int cli_check (cli_t *cli);
int cli_apply (cli_t *cli);
int cli_pull (cli_t *cli);
int cli_diff (cli_t *cli);

// cli_status.c
int cli_status (cli_t *cli);
int cli_drain (cli_t *cli);
int cli_keygen (cli_t *cli);
int cli_hash_key (cli_t *cli);

// cli_logs.c
int cli_logs (cli_t *cli);

#endif
