#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "skr/base.h"

enum
{
  MAX_STRING_BYTES = 4096,
  MAX_TIMEOUT_MS = 600000
};

static const struct opt_def defs[] = {
  { "entry", OPT_STRING, "IP:PORT", 9, MAX_STRING_BYTES, "127.0.0.1:7100",
    "entry VMs, separated by commas; the first that answers is used",
    offsetof (struct sk_settings, entry) },
  { "key", OPT_STRING, "", 0, 256, "",
    "key of the client account or operator; preferably set as a variable",
    offsetof (struct sk_settings, key) },
  { "idempotency-key", OPT_STRING, "", 0, 128, "",
    "identifies the request; empty: a new key is made and printed",
    offsetof (struct sk_settings, idempotency_key) },
  { "ca", OPT_STRING, "file", 0, MAX_STRING_BYTES, "",
    "CA that signs the entry VMs' certificates; empty: no TLS",
    offsetof (struct sk_settings, ca) },
  { "timeout-ms", OPT_INT, "ms", 1, MAX_TIMEOUT_MS, "30000",
    "timeout of one request", offsetof (struct sk_settings, timeout_ms) },
  { "wait-ms", OPT_INT, "ms", 0, 86400000, "600000",
    "maximum time that 'job wait' waits",
    offsetof (struct sk_settings, wait_ms) },
  { "json", OPT_FLAG, "", 0, 1, "0", "print answers as JSON",
    offsetof (struct sk_settings, json) },
  { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 }
};

static const struct
{
  const char *name;
  int (*run) (struct sk_session *s, int argc, const char **argv);
} commands[] = {
  { "plans", sk_lists }, { "allowances", sk_lists }, { "job", sk_job },
  { "call", sk_call },   { "call-status", sk_call }, { "vms", sk_show },
  { "cells", sk_show },  { "status", sk_show },      { "key", sk_key },
  { "why", sk_why },     { "batch", sk_batch },      { "crash", sk_crash },
};

static int
run_command (struct sk_session *s, const struct opt_arguments *rest)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (rest->count && !strcmp (rest->args[0], commands[i].name))
      return commands[i].run (s, rest->count, rest->args);
  fprintf (stderr, "skr: unknown command; see skr --help\n");
  return SK_USAGE;
}

int
main (int argc, char **argv)
{
  struct sk_session s;
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 2 };
  struct opt_arguments rest;
  int code;

  opt_parse (defs, &s.set, argc, argv, "[SETTINGS] COMMAND [ARGUMENTS]",
             "Commands: plans, allowances, job, call, call-status, vms, "
             "cells, status, key, why, batch, crash.",
             &rest);
  if (bs_init ())
    return SK_FAILED;
  config.ca = *s.set.ca ? s.set.ca : NULL;
  s.hc = hc_new (&config);
  if (!s.hc)
    return SK_FAILED;
  code = run_command (&s, &rest);
  hc_free (s.hc);
  opt_arguments_fini (&rest);
  return code;
}
