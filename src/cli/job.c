/* The commands "skr job", "skr call" and "skr call-status".  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "skr/base.h"

enum
{
  KEY_BYTES = 16,          /* random bytes of an idempotency key */
  MAX_POLL_WAIT_MS = 20000 /* of one request; a longer wait polls again */
};

static int
usage (void)
{
  fprintf (stderr,
           "skr: usage: skr job submit FILE | status ID | wait ID | cancel ID "
           "| list\n     skr call FILE | call-status KEY\n");
  return SK_USAGE;
}

/* Returns the key from the settings.  Without one, generates a key in BUF and
   prints it, so that the caller can repeat the request with it.  */
static struct sk_key
get_key (struct sk_session *s, char *buf)
{
  if (*s->set.idempotency_key)
    return (struct sk_key){ s->set.idempotency_key, 0 };
  bs_random_hex (buf, KEY_BYTES);
  fprintf (stderr, "skr: idempotency key %s\n", buf);
  return (struct sk_key){ buf, 1 };
}

static int
post_file (struct sk_session *s, const char *path, const char *file)
{
  char buf[KEY_BYTES * 2 + 1];
  json_t *body = sk_read_file (file);
  struct sk_key key = get_key (s, buf);
  struct sk_reply r = sk_exchange (s, "POST", path, body, &key, -1);

  if (r.body && (r.exit == SK_OK || s->set.json))
    sk_print_json (r.body);
  sk_print_error (&r);
  json_decref (body);
  sk_reply_fini (&r);
  return r.exit;
}

static int
has_ended (const char *state)
{
  return strcmp (state, "queued") != 0 && strcmp (state, "running") != 0;
}

static void
print_job (struct sk_session *s, const json_t *job)
{
  static const char *const names[]
      = { "job", "class", "state", "attempt", "reason", NULL };
  json_t *list;

  if (s->set.json)
    {
      sk_print_json (job);
      return;
    }
  list = json_array ();
  json_array_append (list, (json_t *)job);
  sk_print_table (list, names);
  json_decref (list);
}

static int
request_job (struct sk_session *s, const char *method, const char *path,
             int wait)
{
  struct sk_reply r = sk_exchange (s, method, path, NULL, NULL, -1);
  const char *state = json_string_value (json_object_get (r.body, "state"));
  int code = r.exit;

  if (r.exit != SK_OK)
    sk_print_error (&r);
  else if (!wait || (state && has_ended (state)))
    print_job (s, r.body);
  if (wait && code == SK_OK && state)
    {
      if (!has_ended (state))
        code = SK_UNKNOWN;
      else if (strcmp (state, "done") != 0)
        code = SK_JOB_ENDED;
    }
  sk_reply_fini (&r);
  return code;
}

static int
wait_job (struct sk_session *s, const char *id)
{
  struct bs_clock clock = bs_clock_system ();
  int64_t deadline_ms = bs_now_ms (&clock) + s->set.wait_ms;
  int code;

  do
    {
      int64_t remaining_ms = deadline_ms - bs_now_ms (&clock);
      char *path;

      remaining_ms = remaining_ms < 0 ? 0 : remaining_ms;
      path = g_strdup_printf ("/v1/jobs/%s?wait_ms=%lld", id,
                              (long long)MIN (remaining_ms, MAX_POLL_WAIT_MS));
      code = request_job (s, "GET", path, 1);
      g_free (path);
    }
  while (code == SK_UNKNOWN && bs_now_ms (&clock) < deadline_ms);
  if (code == SK_UNKNOWN)
    fprintf (stderr, "skr: the job has not ended within %lld ms\n",
             (long long)s->set.wait_ms);
  return code;
}

static int
list_jobs (struct sk_session *s)
{
  static const char *const names[]
      = { "job", "class", "state", "attempt", "reason", NULL };
  struct sk_reply r = sk_exchange (s, "GET", "/v1/jobs", NULL, NULL, -1);

  if (r.exit != SK_OK)
    sk_print_error (&r);
  else if (s->set.json)
    sk_print_json (r.body);
  else
    sk_print_table (json_object_get (r.body, "jobs"), names);
  sk_reply_fini (&r);
  return r.exit;
}

int
sk_job (struct sk_session *s, int argc, const char **argv)
{
  char *path;
  int code;

  if (argc == 2 && !strcmp (argv[1], "list"))
    return list_jobs (s);
  if (argc != 3)
    return usage ();
  if (!strcmp (argv[1], "submit"))
    return post_file (s, "/v1/jobs", argv[2]);
  if (!strcmp (argv[1], "wait"))
    return wait_job (s, argv[2]);
  path = g_strconcat ("/v1/jobs/", argv[2], NULL);
  if (!strcmp (argv[1], "status"))
    code = request_job (s, "GET", path, 0);
  else if (!strcmp (argv[1], "cancel"))
    code = request_job (s, "DELETE", path, 0);
  else
    code = usage ();
  g_free (path);
  return code;
}

int
sk_call (struct sk_session *s, int argc, const char **argv)
{
  char *path;
  int code;

  if (argc != 2)
    return usage ();
  if (!strcmp (argv[0], "call"))
    return post_file (s, "/v1/calls", argv[1]);
  path = g_strconcat ("/v1/calls/", argv[1], NULL);
  s->set.json = 1;
  code = request_job (s, "GET", path, 0);
  g_free (path);
  return code;
}
