/* Requests to the entry VMs, and output of their answers.  */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

enum
{
  MAX_ANSWER_BYTES = HC_MAX_BODY,
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_PRECONDITION_FAILED = 412,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_BAD_GATEWAY = 502, /* it ran and failed */
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504
};

/* States that the request has not been sent before.  */
static const char first_attempt_header[] = "Idempotency-Attempt: 1";

static enum sk_exit
exit_code_of_status (long status)
{
  switch (status)
    {
    case STATUS_OK:
    case STATUS_ACCEPTED:
      return SK_OK;
    case STATUS_NOT_FOUND:
      return SK_NOT_FOUND;
    case STATUS_CONFLICT:
    case STATUS_PRECONDITION_FAILED:
      return SK_CONFLICT;
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_UNAVAILABLE:
      return SK_NOT_RUN;
    case STATUS_GATEWAY_TIMEOUT:
      return SK_UNKNOWN;
    default:
      return SK_FAILED;
    }
}

static enum hc_outcome
send_to_entry (struct sk_session *s, const char *address, struct hc_request *r,
               const char *path, struct sk_reply *reply)
{
  char *url
      = g_strconcat (*s->set.ca ? "https://" : "http://", address, path, NULL);
  char *buf = g_malloc (MAX_ANSWER_BYTES);
  struct hc_answer a = { .outcome = HC_NOT_SENT };

  r->url = url;
  if (hc_call (s->hc, r, &a, buf, MAX_ANSWER_BYTES) == HC_OK
      && a.outcome == HC_ANSWERED)
    {
      reply->status = a.status;
      reply->retry_after_s = a.retry_after_s;
      reply->exit = exit_code_of_status (a.status);
      reply->body = json_loadb (buf, a.body_size, 0, NULL);
    }
  g_free (buf);
  g_free (url);
  return a.outcome;
}

static const char *
string_field (const json_t *body, const char *field)
{
  const char *s = json_string_value (json_object_get (body, field));

  return s ? s : "";
}

/* A refusal of a repeat says nothing about the try whose answer was lost, but
   with "not_run" an entry VM has proved that none ran.  With a conflict the
   body tells which key or version is in force.  */
static void
judge_repeat (const struct hc_request *r, struct sk_reply *reply)
{
  reply->is_repeat = 1;
  if (strcmp (r->method, "GET") != 0 && reply->exit != SK_OK
      && reply->exit != SK_CONFLICT && reply->status != STATUS_BAD_GATEWAY
      && strcmp (string_field (reply->body, "state"), "not_run") != 0)
    reply->exit = SK_UNKNOWN;
}

/* Tries the entry VMs in order until one answers.  Repeating a request after
   a lost answer is safe: every request that changes state has a key or a
   version that makes it idempotent.  */
static void
send_to_first (struct sk_session *s, struct hc_request *r, const char *path,
               struct sk_reply *reply)
{
  char **address = g_strsplit (s->set.entry, ",", -1);
  int header_count = 0, is_lost = 0;

  while (header_count < HC_MAX_HEADERS && r->header[header_count])
    header_count++;
  reply->exit = SK_UNREACHABLE;
  for (int i = 0; address[i]; i++)
    {
      enum hc_outcome end = send_to_entry (s, address[i], r, path, reply);

      if (end == HC_ANSWERED && is_lost)
        judge_repeat (r, reply);
      if (end == HC_ANSWERED)
        break;
      if (end != HC_LOST)
        continue;
      is_lost = 1;
      reply->exit = SK_UNKNOWN;
      /* The next attempt is no longer the first one.  */
      if (header_count
          && !strcmp (r->header[header_count - 1], first_attempt_header))
        r->header[header_count - 1] = NULL;
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
  char *if_match_header
      = g_strdup_printf ("If-Match: \"%lld\"", (long long)if_match);
  char *key_header = g_strdup_printf ("Idempotency-Key: %s",
                                      idempotency ? idempotency->text : "");
  struct hc_request r = { .method = method,
                          .body = text,
                          .timeout_ms = (int)s->set.timeout_ms };
  struct sk_reply reply = { .exit = SK_UNREACHABLE };
  int n = 0;

  r.header[n++] = key;
  if (idempotency)
    r.header[n++] = key_header;
  if (if_match >= 0)
    r.header[n++] = if_match_header;
  if (idempotency && idempotency->is_new)
    r.header[n++] = first_attempt_header;
  r.new_connection = body != NULL;
  send_to_first (s, &r, path, &reply);
  g_free (key_header);
  g_free (if_match_header);
  g_free (key);
  free (text);
  return reply;
}

void
sk_reply_fini (struct sk_reply *reply)
{
  json_decref (reply->body);
}

int
sk_print_error (const struct sk_reply *r)
{
  const char *state = string_field (r->body, "state");

  if (r->exit == SK_UNREACHABLE)
    fprintf (stderr, "skr: no entry VM answers\n");
  else if (r->exit == SK_UNKNOWN && !r->status)
    fprintf (stderr, "skr: no answer was received; retry with the same key\n");
  else if (r->exit != SK_OK)
    fprintf (stderr, "skr: %ld %s%s%s%s%s\n", r->status,
             string_field (r->body, "title"),
             *string_field (r->body, "detail") ? ": " : "",
             string_field (r->body, "detail"), *state ? "; state " : "",
             state);
  if (r->exit == SK_UNKNOWN && r->is_repeat)
    fprintf (stderr, "skr: an earlier try got no answer and may have been "
                     "carried out\n");
  if (r->exit != SK_OK && r->retry_after_s)
    fprintf (stderr, "skr: retry after %ld s\n", r->retry_after_s);
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
print_value (const json_t *value)
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
      print_value (json_object_get (row, names[n]));
    putchar ('\n');
  }
}
