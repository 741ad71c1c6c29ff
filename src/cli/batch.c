/* skr batch status | job ID: what each VM that runs skr-batch knows */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static const char *const status_names[]
    = { "address",       "vm",          "phase", "epoch", "config_version",
        "config_age_ms", "jobs_age_ms", "store", "jobs",  "waiting",
        "runs",          "workers",     NULL };
static const char *const job_names[]
    = { "address",       "vm",          "state", "queue", "account",
        "cancel_wanted", "jobs_age_ms", NULL };

/* What the VM at ADDRESS answers to PATH.  Its metrics address takes neither
   a key nor TLS.  */
static struct sk_reply
ask (const struct sk_session *s, const char *address, const char *path)
{
  struct sk_session one = *s;

  one.set.entry = address;
  one.set.key = one.set.ca = "";
  return sk_exchange (&one, "GET", path, NULL, NULL, -1);
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
      struct sk_reply r = ask (s, address[i], path);
      int has = r.exit == SK_OK && json_is_object (r.body);
      json_t *o = has ? json_incref (r.body) : json_object ();

      answers += r.body != NULL;
      known += has;
      json_object_set_new (o, "address", json_string (address[i]));
      json_array_append_new (rows, o);
      sk_reply_fini (&r);
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
