/// @file main.c
/// Command line of knapweedbay, the operators' tool.
#include <argtable2.h>
#include <stdio.h>

#include "cli/cli_defs.h"

/// One subcommand.
typedef struct
{
  const char *name;
  const char *help;
  int (*run) (cli_t *cli);
  bool needs_folder;
  bool needs_kv;
  bool needs_daemon;
  bool needs_key;
} command_t;

static const command_t commands[] = {
  { "check", "check a configuration folder", cli_check, true, false, false,
    false },
  { "apply", "apply a folder; it takes effect everywhere within seconds",
    cli_apply, true, true, false, false },
  { "pull", "update a folder to the configuration in force", cli_pull, true,
    true, false, false },
  { "diff", "show how a folder differs from the configuration in force",
    cli_diff, true, true, false, false },
  { "status", "show daemons, targets, stalls, step fill and revisions",
    cli_status, false, false, true, true },
  { "drain", "shut daemons down without breaking off requests", cli_drain,
    false, false, true, true },
  { "keygen", "generate a CURVE key pair for the settings", cli_keygen, false,
    false, false, false },
  { "hash-key", "print the digest of a workspace key for the configuration",
    cli_hash_key, false, false, false, true },
  { "logs", "print the log lines of one request from several processes",
    cli_logs, false, false, false, false },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0]
};

static void
print_commands (void)
{
  printf ("Usage: knapweedbay COMMAND [OPTIONS]\n\n");
  for (int i = 0; i < COMMAND_COUNT; i++)
    printf ("  %-10s %s\n", commands[i].name, commands[i].help);
  printf ("\nExit codes: 0 done, 1 conflict or difference, 2 bad input, "
          "3 unavailable and nothing changed,\n4 outcome unknown, run again. "
          "`knapweedbay COMMAND --help` shows the options.\n");
}

static const command_t *
command_find (const char *name)
{
  for (int i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static int
usage_error (const char *message)
{
  fprintf (stderr, "knapweedbay: %s\n", message);
  return CLI_BAD_INPUT;
}

/// Options shared by all subcommands.
typedef struct
{
  struct arg_lit *help;
  struct arg_lit *json;
  struct arg_lit *watch;
  struct arg_str *kv;
  struct arg_str *daemon;
  struct arg_str *key;
  struct arg_str *id;
  struct arg_file *folder;
  struct arg_end *end;
} options_t;

static int
run_command (const command_t *command, const options_t *o)
{
  static cli_t cli;
  cli.is_json = o->json->count > 0;
  cli.is_watch = o->watch->count > 0;
  if (command->needs_folder)
    {
      if (o->folder->count == 0)
        return usage_error ("a configuration folder is required");
      snprintf (cli.folder, sizeof cli.folder, "%s", o->folder->filename[0]);
    }
  if (command->run == cli_logs)
    {
      if (o->id->count == 0)
        return usage_error ("--id of the request is required");
      cli.request_id = o->id->sval[0];
      for (int i = 0; i < o->folder->count; i++)
        cli.files[cli.file_count++] = o->folder->filename[i];
    }
  if (command->needs_kv
      && (o->kv->count == 0
          || !cli_parse_address (o->kv->sval[0], cli.kv_address,
                                 &cli.kv_port)))
    return usage_error ("--kv IP:PORT of the key-value service is required");
  if (command->needs_daemon && o->daemon->count == 0)
    return usage_error ("--daemon IP:PORT is required");
  for (int i = 0; i < o->daemon->count && i < CLI_MAX_DAEMONS; i++)
    snprintf (cli.daemons[cli.daemon_count++], CLI_ADDRESS_BYTES, "%s",
              o->daemon->sval[i]);
  if (command->needs_key && o->key->count == 0)
    return usage_error ("--key is required");
  if (o->key->count > 0)
    snprintf (cli.key, sizeof cli.key, "%s", o->key->sval[0]);
  cli_net_init (&cli);
  return command->run (&cli);
}

int
main (int argc, char **argv)
{
  if (argc < 2 || strcmp (argv[1], "--help") == 0
      || strcmp (argv[1], "-h") == 0)
    {
      print_commands ();
      return argc < 2 ? CLI_BAD_INPUT : CLI_OK;
    }
  if (strcmp (argv[1], "--version") == 0 || strcmp (argv[1], "-V") == 0)
    {
      puts ("knapweedbay 0.1.0");
      return CLI_OK;
    }
  const command_t *command = command_find (argv[1]);
  if (command == NULL)
    {
      fprintf (stderr, "knapweedbay: unknown command \"%s\"\n", argv[1]);
      return CLI_BAD_INPUT;
    }
  options_t o = {
    .help = arg_lit0 ("h", "help", "show this help"),
    .json = arg_lit0 (NULL, "json", "print JSON, for scripts"),
    .watch = arg_lit0 (NULL, "watch", "status: repeat every second"),
    .kv = arg_str0 (NULL, "kv", "IP:PORT", "key-value service"),
    .daemon
    = arg_strn (NULL, "daemon", "IP:PORT", 0, CLI_MAX_DAEMONS, "daemon"),
    .key = arg_str0 (NULL, "key", "KEY", "operator or workspace key"),
    .id = arg_str0 (NULL, "id", "ID", "logs: id of the request"),
    .folder = arg_filen (NULL, NULL, "FOLDER|LOG", 0, CLI_MAX_FILES,
                         "configuration folder; logs: files to read, "
                         "standard input by default"),
    .end = arg_end (8),
  };
  void *table[] = { o.help, o.json, o.watch,  o.kv, o.daemon,
                    o.key,  o.id,   o.folder, o.end };
  int errors = arg_parse (argc - 1, argv + 1, table);
  int code = CLI_OK;
  if (o.help->count > 0)
    {
      printf ("Usage: knapweedbay %s", command->name);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, o.end, "knapweedbay");
      code = CLI_BAD_INPUT;
    }
  else
    code = run_command (command, &o);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
