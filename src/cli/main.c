#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "skr/base.h"

enum
{
  MAX_URLS = 4096,     /* bytes */
  MAX_TIMEOUT = 600000 /* ms */
};

static const struct opt_def defs[]
    = { { "entry", OPT_STRING, "IP:PORT", 9, MAX_URLS, "127.0.0.1:7100",
          "entry VMs to ask, separated by commas, the first that answers",
          offsetof (struct sk_settings, entry) },
        { "key", OPT_STRING, "", 0, 256, "",
          "key of the client account or operator; better set as a variable",
          offsetof (struct sk_settings, key) },
        { "idempotency-key", OPT_STRING, "", 0, 128, "",
          "names the request; a new one is made and printed when empty",
          offsetof (struct sk_settings, idempotency_key) },
        { "ca", OPT_STRING, "file", 0, MAX_URLS, "",
          "authority that signs the entry VMs' certificates; empty: no TLS",
          offsetof (struct sk_settings, ca) },
        { "timeout-ms", OPT_INT, "ms", 1, MAX_TIMEOUT, "30000",
          "longest time for one exchange",
          offsetof (struct sk_settings, timeout_ms) },
        { "wait-ms", OPT_INT, "ms", 0, 86400000, "600000",
          "longest time that 'job wait' waits",
          offsetof (struct sk_settings, wait_ms) },
        { "json", OPT_FLAG, "", 0, 1, "0", "print answers as JSON",
          offsetof (struct sk_settings, json) },
        { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 } };

static const struct
{
  const char *name;
  int (*run) (struct sk_session *s, int argc, const char **argv);
} commands[] = {
  { "plans", sk_lists }, { "allowances", sk_lists }, { "job", sk_job },
  { "call", sk_call },   { "call-status", sk_call }, { "vms", sk_show },
  { "cells", sk_show },  { "status", sk_show },      { "key", sk_key },
  { "why", sk_why },     { "batch", sk_batch },
};

static int
run_command (struct sk_session *s, const struct opt_rest *rest)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (rest->count && !strcmp (rest->args[0], commands[i].name))
      return commands[i].run (s, rest->count, rest->args);
  fprintf (stderr, "skr: no such command; see skr --help\n");
  return SK_USAGE;
}

int
main (int argc, char **argv)
{
  struct sk_session s;
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 2 };
  struct opt_rest rest;
  int code;

  opt_parse (defs, &s.set, argc, argv, "[SETTINGS] COMMAND [ARGUMENTS]",
             "Commands: plans, allowances, job, call, call-status, vms, "
             "cells, status, key, why, batch.",
             &rest);
  if (bs_init ())
    return SK_FAILED;
  config.ca = *s.set.ca ? s.set.ca : NULL;
  s.hc = hc_new (&config);
  if (!s.hc)
    return SK_FAILED;
  code = run_command (&s, &rest);
  hc_free (s.hc);
  opt_rest_fini (&rest);
  return code;
}
