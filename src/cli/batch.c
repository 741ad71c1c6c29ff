/* The commands "skr batch status" and "skr batch job ID", which query each VM
   that runs skr-batch.  */
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

static const char *const account_names[]
    = { "account", "weight",  "share_permille", "entitled_permille",
        "over",    "running", "waiting",        NULL };

/* Requests PATH from the VM at ADDRESS, without a key or TLS, because ADDRESS
   is its metrics listener.  */
static struct sk_reply
get_from_vm (const struct sk_session *s, const char *address, const char *path)
{
  struct sk_session vm_session = *s;

  vm_session.set.entry = address;
  vm_session.set.key = vm_session.set.ca = "";
  return sk_exchange (&vm_session, "GET", path, NULL, NULL, -1);
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

/* Requests PATH from every VM and prints vm_session row for each.  The row of
   a VM that does not answer usable an address only.  */
static int
print_all_vms (struct sk_session *s, const char *path, const char **address,
               int count, const char *const *names)
{
  json_t *rows = json_array ();
  int answered = 0, found = 0;

  for (int i = 0; i < count; i++)
    {
      struct sk_reply r = get_from_vm (s, address[i], path);
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
  int exit;

  if (argc >= 3 && !strcmp (argv[1], "status"))
    return print_all_vms (s, "/v1/status", argv + 2, argc - 2, status_names);
  if (argc < 4 || strcmp (argv[1], "job") != 0)
    {
      fprintf (stderr, "usage: skr batch status METRICS-ADDRESS...\n"
                       "       skr batch job ID METRICS-ADDRESS...\n");
      return SK_USAGE;
    }
  path = g_strconcat ("/v1/jobs/", argv[2], NULL);
  exit = print_all_vms (s, path, argv + 3, argc - 3, job_names);
  g_free (path);
  return exit;
}
