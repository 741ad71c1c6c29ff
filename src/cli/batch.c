/* The commands "skr batch status", "skr batch job ID" and "skr batch resume
   ID", which ask each VM that runs skr-batch.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static const char *const status_names[] = { "address",        "vm",
                                            "phase",          "epoch",
                                            "config_version", "config_age_ms",
                                            "jobs_age_ms",    "store",
                                            "jobs",           "waiting",
                                            "runs",           "workers",
                                            "writes",         "headroom",
                                            "preemptions",    "stopped_runs",
                                            "closed_domains", NULL };
static const char *const job_names[]
    = { "address",       "vm",          "state", "queue", "account",
        "cancel_wanted", "jobs_age_ms", NULL };

static const char *const resume_names[] = { "address", "vm", "resumed", NULL };

static const char *const account_names[]
    = { "account", "weight",  "share_permille", "entitled_permille",
        "over",    "running", "waiting",        NULL };

/* Sends a request to the VM at ADDRESS, without a key or TLS, because ADDRESS
   is its metrics listener.  */
static struct sk_reply
ask_vm (const struct sk_session *s, const char *method, const char *address,
        const char *path)
{
  struct sk_session vm_session = *s;

  vm_session.set.entry = address;
  vm_session.set.key = vm_session.set.ca = "";
  return sk_exchange (&vm_session, method, path, NULL, NULL, -1);
}

/* Prints the accounts that the scheduler's row has.  */
static void
print_accounts (const json_t *rows)
{
  const json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const json_t *list = json_object_get (row, "accounts");

    if (!json_array_size (list))
      continue;
    printf ("\n");
    sk_print_table (list, account_names);
  }
}

/* Prints the jobs that the scheduler has suspended.  */
static void
print_suspended (const json_t *rows)
{
  const json_t *row, *id;
  size_t i, k;

  json_array_foreach (rows, i, row)
  {
    const json_t *caution = json_object_get (row, "caution");

    if (!caution
        || g_strcmp0 (json_string_value (json_object_get (row, "phase")),
                      "schedules"))
      continue;
    printf ("\n%lld crashes of schedulers in a row\n",
            (long long)json_integer_value (json_object_get (caution, "ends")));
    json_array_foreach (json_object_get (caution, "suspended"), k, id)
        printf ("suspended: %s\n", json_string_value (id));
  }
}

/* Sends METHOD and PATH to every VM and prints a row for each.  The row of a
   VM that does not answer usably has an address only.  */
static int
print_all_vms (struct sk_session *s, const char *method, const char *path,
               const char **address, int count, const char *const *names)
{
  json_t *rows = json_array ();
  int answered = 0, found = 0;

  for (int i = 0; i < count; i++)
    {
      struct sk_reply r = ask_vm (s, method, address[i], path);
      int usable = r.exit == SK_OK && json_is_object (r.body);
      json_t *o = usable ? json_incref (r.body) : json_object ();

      answered += r.body != NULL;
      found += usable;
      json_object_set_new (o, "address", json_string (address[i]));
      json_array_append_new (rows, o);
      sk_reply_fini (&r);
    }
  if (s->set.json)
    sk_print_json (rows);
  else
    {
      sk_print_table (rows, names);
      print_accounts (rows);
      print_suspended (rows);
    }
  json_decref (rows);
  if (!answered)
    return SK_UNREACHABLE;
  return found ? SK_OK : SK_NOT_FOUND;
}

int
sk_batch (struct sk_session *s, int argc, const char **argv)
{
  char *path;
  int exit, is_resume;

  if (argc >= 3 && !strcmp (argv[1], "status"))
    return print_all_vms (s, "GET", "/v1/status", argv + 2, argc - 2,
                          status_names);
  is_resume = argc >= 4 && !strcmp (argv[1], "resume");
  if (argc < 4 || (strcmp (argv[1], "job") != 0 && !is_resume))
    {
      fprintf (stderr, "usage: skr batch status METRICS-ADDRESS...\n"
                       "       skr batch job ID METRICS-ADDRESS...\n"
                       "       skr batch resume ID METRICS-ADDRESS...\n");
      return SK_USAGE;
    }
  path
      = g_strconcat ("/v1/jobs/", argv[2], is_resume ? "/resume" : NULL, NULL);
  exit = print_all_vms (s, is_resume ? "POST" : "GET", path, argv + 3,
                        argc - 3, is_resume ? resume_names : job_names);
  g_free (path);
  return exit;
}
