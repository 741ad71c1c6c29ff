#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "skr/base.h"
#include "skr/log.h"
#include "skr/table.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503
};

struct tb_client
{
  struct hc_client *hc;
  char *url;
  int timeout_ms;
  atomic_llong down_since; /* monotonic ms; 0 while the table is available */
};

struct exchange
{
  struct tb_client *tb;
  int is_write;
  tb_done *done;
  void *arg;
};

const char *
tb_strerror (int error)
{
  switch ((enum tb_error)error)
    {
    case TB_OK:
      return "success";
    case TB_EINVAL:
      return "the table refused the request as malformed";
    case TB_ENOMEM:
      return "out of memory";
    case TB_ECONFLICT:
      return "a row has changed";
    case TB_EDOWN:
      return "the table does not answer; nothing was written";
    case TB_EUNKNOWN:
      return "the table's answer is lost; it may have written";
    case TB_ENOENT:
      return "no such row";
    case TB_EBUSY:
      return "the table is over its rate; nothing was written";
    }
  return "unknown error";
}

struct tb_client *
tb_new (struct hc_client *hc, const struct tb_config *config)
{
  struct tb_client *tb = g_new0 (struct tb_client, 1);

  tb->hc = hc;
  tb->url = g_strdup (config->url);
  tb->timeout_ms = config->timeout_ms;
  return tb;
}

void
tb_free (struct tb_client *tb)
{
  if (!tb)
    return;
  g_free (tb->url);
  g_free (tb);
}

void
tb_txn_init (struct tb_txn *txn)
{
  txn->checks = json_array ();
  txn->ops = json_array ();
}

void
tb_txn_fini (struct tb_txn *txn)
{
  json_decref (txn->checks);
  json_decref (txn->ops);
}

void
tb_txn_check (struct tb_txn *txn, const char *table, const char *key,
              int64_t version)
{
  json_array_append_new (txn->checks,
                         json_pack ("{s:s,s:s,s:I}", "table", table, "key",
                                    key, "version", (json_int_t)version));
}

void
tb_txn_put (struct tb_txn *txn, const char *table, const char *key,
            json_t *value)
{
  json_array_append_new (txn->ops,
                         json_pack ("{s:s,s:s,s:s,s:o}", "op", "put", "table",
                                    table, "key", key, "value", value));
}

void
tb_txn_delete (struct tb_txn *txn, const char *table, const char *key)
{
  json_array_append_new (txn->ops, json_pack ("{s:s,s:s,s:s}", "op", "delete",
                                              "table", table, "key", key));
}

/* Logs the start and the end of each outage of the table.  */
static void
log_availability (struct tb_client *tb, int up, const char *reason)
{
  struct bs_clock clock = bs_clock_system ();
  long long now = bs_now_ms (&clock), since = 0;

  if (!up && atomic_compare_exchange_strong (&tb->down_since, &since, now))
    lg_log (LG_TABLE_DOWN, 1,
            (struct lg_field[]){ lg_str ("reason", reason) });
  if (up && (since = atomic_exchange (&tb->down_since, 0)))
    lg_log (LG_TABLE_BACK, 1,
            (struct lg_field[]){ lg_int ("down_ms", now - since) });
}

static int
error_of_answer (const struct hc_answer *a, int is_write)
{
  if (a->outcome == HC_NOT_SENT)
    return TB_EDOWN;
  if (a->outcome == HC_LOST)
    return is_write ? TB_EUNKNOWN : TB_EDOWN;
  switch (a->status)
    {
    case STATUS_OK:
      return TB_OK;
    case STATUS_BAD_REQUEST:
      return TB_EINVAL;
    case STATUS_NOT_FOUND:
      return TB_ENOENT;
    case STATUS_CONFLICT:
      return TB_ECONFLICT;
    case STATUS_TOO_MANY:
      return TB_EBUSY;
    case STATUS_UNAVAILABLE:
      return TB_EDOWN;
    default:
      return is_write ? TB_EUNKNOWN : TB_EDOWN;
    }
}

static void
on_answer (void *arg, const struct hc_answer *a)
{
  struct exchange *x = arg;
  int error = error_of_answer (a, x->is_write);
  json_t *data = NULL;

  if (a->outcome == HC_ANSWERED && a->body_size)
    data = json_loadb (a->body, a->body_size, 0, NULL);
  if ((error == TB_OK || error == TB_ECONFLICT) && !data)
    error = x->is_write ? TB_EUNKNOWN : TB_EDOWN;
  log_availability (x->tb, error != TB_EDOWN && error != TB_EUNKNOWN,
                    tb_strerror (error));
  x->done (x->arg, error, data);
  json_decref (data);
  g_free (x);
}

static int
error_of_submit (int error)
{
  switch ((enum hc_error)error)
    {
    case HC_OK:
      return TB_OK;
    case HC_EINVAL:
      return TB_EINVAL;
    case HC_ENOMEM:
      return TB_ENOMEM;
    case HC_EFULL:
      return TB_EBUSY;
    case HC_ECLOSED:
      return TB_EDOWN;
    }
  return TB_EDOWN;
}

static int
submit (struct tb_client *tb, const char *method, const char *path,
        const char *body, tb_done *done, void *arg)
{
  struct exchange *x = g_new (struct exchange, 1);
  char *url = g_strconcat (tb->url, path, NULL);
  struct hc_request r = { .method = method,
                          .url = url,
                          .body = body,
                          .timeout_ms = tb->timeout_ms,
                          .done = on_answer,
                          .arg = x };
  int error;

  *x = (struct exchange){ tb, body != NULL, done, arg };
  error = error_of_submit (hc_submit (tb->hc, &r));
  if (error)
    g_free (x);
  g_free (url);
  return error;
}

int
tb_commit (struct tb_client *tb, const struct tb_txn *txn, tb_done *done,
           void *arg)
{
  json_t *o = json_pack ("{s:O,s:O}", "checks", txn->checks, "ops", txn->ops);
  char *body = o ? json_dumps (o, JSON_COMPACT) : NULL;
  int error = TB_EINVAL;

  if (body)
    error = submit (tb, "POST", "/v1/txn", body, done, arg);
  free (body);
  json_decref (o);
  return error;
}

int
tb_get (struct tb_client *tb, const char *table, const char *key,
        tb_done *done, void *arg)
{
  char *escaped = g_uri_escape_string (key, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/rows/%s/%s", table, escaped);
  int error = submit (tb, "GET", path, NULL, done, arg);

  g_free (path);
  g_free (escaped);
  return error;
}

static void
append_argument (GString *path, const char *name, const char *value)
{
  if (!value || !*value)
    return;
  g_string_append_printf (path, "&%s=", name);
  g_string_append_uri_escaped (path, value, NULL, FALSE);
}

int
tb_scan (struct tb_client *tb, const struct tb_scan *scan, tb_done *done,
         void *arg)
{
  GString *path = g_string_new (NULL);
  int error;

  g_string_printf (path, "/v1/rows/%s?since=%lld", scan->table,
                   (long long)scan->since);
  if (scan->limit)
    g_string_append_printf (path, "&limit=%d", scan->limit);
  append_argument (path, "prefix", scan->prefix);
  append_argument (path, "after", scan->after);
  error = submit (tb, "GET", path->str, NULL, done, arg);
  g_string_free (path, TRUE);
  return error;
}

int
tb_vms (struct tb_client *tb, tb_done *done, void *arg)
{
  return submit (tb, "GET", "/v1/vms", NULL, done, arg);
}
