#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

enum
{
  ANSWER_SIZE = HC_MAX_BODY,
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_FAILED_CHECK = 412,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504
};

/* The caller's word that no attempt went before.  */
static const char first_attempt[] = "Idempotency-Attempt: 1";

static enum sk_exit
exit_of (long status)
{
  switch (status)
    {
    case STATUS_OK:
    case STATUS_ACCEPTED:
      return SK_OK;
    case STATUS_NOT_FOUND:
      return SK_NOT_FOUND;
    case STATUS_CONFLICT:
    case STATUS_FAILED_CHECK:
      return SK_CONFLICT;
    case STATUS_TOO_MANY:
    case STATUS_UNAVAILABLE:
      return SK_NOT_RUN;
    case STATUS_GATEWAY_TIMEOUT:
      return SK_UNKNOWN;
    default:
      return SK_FAILED;
    }
}

static enum hc_end
try_entry (struct sk_session *s, const char *address, struct hc_request *r,
           const char *path, struct sk_reply *reply)
{
  char *url
      = g_strconcat (*s->set.ca ? "https://" : "http://", address, path, NULL);
  char *buf = g_malloc (ANSWER_SIZE);
  struct hc_answer a = { .end = HC_NOT_SENT };

  r->url = url;
  if (hc_call (s->hc, r, &a, buf, ANSWER_SIZE) == HC_OK
      && a.end == HC_ANSWERED)
    {
      reply->status = a.status;
      reply->retry_after_s = a.retry_after_s;
      reply->exit = exit_of (a.status);
      reply->body = json_loadb (buf, a.body_size, 0, NULL);
    }
  g_free (buf);
  g_free (url);
  return a.end;
}

/* A lost answer may be asked for again: every request that changes something
   has a key or a version that makes it idempotent.  */
static void
try_all (struct sk_session *s, struct hc_request *r, const char *path,
         struct sk_reply *reply)
{
  char **address = g_strsplit (s->set.entry, ",", -1);
  int last = 0;

  while (last < HC_MAX_HEADERS && r->header[last])
    last++;
  reply->exit = SK_UNREACHABLE;
  for (int i = 0; address[i]; i++)
    {
      enum hc_end end = try_entry (s, address[i], r, path, reply);

      if (end == HC_ANSWERED)
        break;
      if (end != HC_LOST)
        continue;
      reply->exit = SK_UNKNOWN;
      /* The key is not fresh any more.  */
      if (last && !strcmp (r->header[last - 1], first_attempt))
        r->header[last - 1] = NULL;
    }
  g_strfreev (address);
}

struct sk_reply
sk_exchange (struct sk_session *s, const char *method, const char *path,
             const json_t *body, const struct sk_key *idempotency,
             int64_t if_match)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  char *key = g_strdup_printf ("Authorization: Bearer %s", s->set.key);
  char *match = g_strdup_printf ("If-Match: \"%lld\"", (long long)if_match);
  char *once = g_strdup_printf ("Idempotency-Key: %s",
                                idempotency ? idempotency->text : "");
  struct hc_request r = { .method = method,
                          .body = text,
                          .timeout_ms = (int)s->set.timeout_ms };
  struct sk_reply reply = { .exit = SK_UNREACHABLE };
  int n = 0;

  r.header[n++] = key;
  if (idempotency)
    r.header[n++] = once;
  if (if_match >= 0)
    r.header[n++] = match;
  if (idempotency && idempotency->fresh)
    r.header[n++] = first_attempt;
  r.fresh = body != NULL;
  try_all (s, &r, path, &reply);
  g_free (once);
  g_free (match);
  g_free (key);
  free (text);
  return reply;
}

void
sk_reply_fini (struct sk_reply *reply)
{
  json_decref (reply->body);
}

static const char *
text_of (const json_t *body, const char *field)
{
  const char *s = json_string_value (json_object_get (body, field));

  return s ? s : "";
}

int
sk_report (const struct sk_reply *r)
{
  const char *state = text_of (r->body, "state");

  if (r->exit == SK_UNREACHABLE)
    fprintf (stderr, "skr: no entry VM answers\n");
  else if (r->exit == SK_UNKNOWN && !r->status)
    fprintf (stderr, "skr: the answer is lost; ask again with the same key\n");
  else if (r->exit != SK_OK)
    fprintf (stderr, "skr: %ld %s%s%s%s%s\n", r->status,
             text_of (r->body, "title"),
             *text_of (r->body, "detail") ? ": " : "",
             text_of (r->body, "detail"), *state ? "; state " : "", state);
  if (r->exit != SK_OK && r->retry_after_s)
    fprintf (stderr, "skr: come back after %ld s\n", r->retry_after_s);
  return r->exit;
}

json_t *
sk_read_file (const char *path)
{
  json_error_t error;
  json_t *value = strcmp (path, "-") != 0 ? json_load_file (path, 0, &error)
                                          : json_loadf (stdin, 0, &error);

  if (value)
    return value;
  fprintf (stderr, "skr: %s:%d: %s\n", path, error.line, error.text);
  exit (SK_USAGE);
}

void
sk_print_json (const json_t *value)
{
  json_dumpf (value, stdout, JSON_INDENT (2) | JSON_SORT_KEYS);
  putchar ('\n');
}

static void
print_cell (const json_t *value)
{
  enum
  {
    WIDTH = 24 /* characters */
  };
  char *text = NULL;

  if (json_is_string (value))
    {
      printf ("%-*s ", WIDTH, json_string_value (value));
      return;
    }
  if (value)
    text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  printf ("%-*s ", WIDTH, text ? text : "-");
  free (text);
}

void
sk_print_table (const json_t *list, const char *const *names)
{
  size_t i;
  json_t *row;

  for (int n = 0; names[n]; n++)
    printf ("%-24s ", names[n]);
  putchar ('\n');
  json_array_foreach (list, i, row)
  {
    for (int n = 0; names[n]; n++)
      print_cell (json_object_get (row, names[n]));
    putchar ('\n');
  }
}
