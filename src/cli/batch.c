/* skr batch status | job ID: what each VM that runs skr-batch knows */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

enum
{
  ANSWER_SIZE = 65536, /* bytes */
  STATUS_OK = 200
};

static const char *const status_names[]
    = { "address",       "vm",          "phase", "epoch", "config_version",
        "config_age_ms", "jobs_age_ms", "store", "jobs",  "waiting",
        "runs",          "workers",     NULL };
static const char *const job_names[]
    = { "address",       "vm",          "state", "queue", "account",
        "cancel_wanted", "jobs_age_ms", NULL };

/* The answer of the VM at ADDRESS to PATH, or NULL.  */
static json_t *
ask (struct sk_session *s, const char *address, const char *path)
{
  char *url = g_strconcat ("http://", address, path, NULL);
  char *buf = g_malloc (ANSWER_SIZE);
  struct hc_request r
      = { .method = "GET", .url = url, .timeout_ms = (int)s->set.timeout_ms };
  struct hc_answer a = { .end = HC_NOT_SENT };
  json_t *o = NULL;

  if (hc_call (s->hc, &r, &a, buf, ANSWER_SIZE) == HC_OK
      && a.end == HC_ANSWERED)
    o = json_loads (buf, 0, NULL);
  if (o && a.status != STATUS_OK)
    json_object_clear (o);
  g_free (buf);
  g_free (url);
  return o;
}

/* Asks every VM; those that do not answer have a row without fields.  */
static int
ask_all (struct sk_session *s, const char *path, const char **address,
         int count, const char *const *names)
{
  json_t *rows = json_array ();
  int answers = 0, known = 0;

  for (int i = 0; i < count; i++)
    {
      json_t *o = ask (s, address[i], path);

      answers += o != NULL;
      known += json_object_size (o) > 0;
      if (!o)
        o = json_object ();
      json_object_set_new (o, "address", json_string (address[i]));
      json_array_append_new (rows, o);
    }
  if (s->set.json)
    sk_print_json (rows);
  else
    sk_print_table (rows, names);
  json_decref (rows);
  if (!answers)
    return SK_UNREACHABLE;
  return known ? SK_OK : SK_NOT_FOUND;
}

int
sk_batch (struct sk_session *s, int argc, const char **argv)
{
  char *path;
  int exit;

  if (argc >= 3 && !strcmp (argv[1], "status"))
    return ask_all (s, "/v1/status", argv + 2, argc - 2, status_names);
  if (argc < 4 || strcmp (argv[1], "job") != 0)
    {
      fprintf (stderr, "usage: skr batch status METRICS-ADDRESS...\n"
                       "       skr batch job ID METRICS-ADDRESS...\n");
      return SK_USAGE;
    }
  path = g_strconcat ("/v1/jobs/", argv[2], NULL);
  exit = ask_all (s, path, argv + 3, argc - 3, job_names);
  g_free (path);
  return exit;
}
