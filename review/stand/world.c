#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "review/stand/world.h"
#include "skr/base.h"

enum
{
  TICK_MS = 5,
  TRANSACTION_MS = 3, /* platform.transaction_ms */
  MAX_ENTRIES = 100,
  MAX_CALL_BYTES = 1 << 20,
  PAGE_ROWS = 500,
  MAX_LISTED_ENDS = 500,
  READY_TIMEOUT_MS = 10000,
  CALL_TIMEOUT_MS = 3000,
  CLIENT_TRIES = 5, /* the first and four more */
  GRACE_MS = 6000,
  GANG_MS = 3000, /* gang_ms */
  BREAK_MS = 20
};

extern char **environ;

int64_t
wd_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
wd_lock (struct wd_world *w)
{
  pthread_mutex_lock (&w->lock);
}

void
wd_unlock (struct wd_world *w)
{
  pthread_mutex_unlock (&w->lock);
}

static void
cannot_run (const char *what)
{
  fprintf (stderr, "the case can't run: %s\n", what);
  exit (2);
}

void
wd_note (struct wd_world *w, const char *format, ...)
{
  char line[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  flockfile (w->record);
  fprintf (w->record, "%8.3f  %s\n",
           (double)(wd_now_ms () - w->began_ms) / 1000, line);
  fflush (w->record);
  funlockfile (w->record);
}

/* Waits for a change of the store or of a worker, 20 ms at most.  */
static void
wait_change (struct wd_world *w)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += 20000000L;
  until.tv_sec += until.tv_nsec / 1000000000L;
  until.tv_nsec %= 1000000000L;
  pthread_cond_timedwait (&w->changed, &w->lock, &until);
}

/* The store.  */

static void
free_row (void *arg)
{
  struct wd_row *row = arg;

  g_free (row->table);
  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static struct wd_row *
new_row (const char *table, const char *key, const char *value,
         int64_t version)
{
  struct wd_row *row = g_new0 (struct wd_row, 1);

  row->table = g_strdup (table);
  row->key = g_strdup (key);
  row->value = g_strdup (value ? value : "");
  row->version = version;
  row->deleted = !value;
  return row;
}

/* VALUE is base64; NULL removes the row.  */
static void
change_row (struct wd_world *w, const char *table, const char *key,
            const char *value)
{
  char *name = g_strdup_printf ("%s/%s", table, key);

  if (value)
    g_hash_table_replace (w->rows, g_strdup (name),
                          new_row (table, key, value, w->version));
  else
    g_hash_table_remove (w->rows, name);
  g_ptr_array_add (w->history, new_row (table, key, value, w->version));
  g_free (name);
  pthread_cond_broadcast (&w->changed);
}

static void
put_text (struct wd_world *w, const char *table, const char *key,
          const char *text)
{
  char *value = g_base64_encode ((const guchar *)text, strlen (text));

  w->version++;
  change_row (w, table, key, value);
  g_free (value);
}

void
wd_put (struct wd_world *w, const char *table, const char *key,
        const char *text)
{
  wd_lock (w);
  put_text (w, table, key, text);
  wd_unlock (w);
}

void
wd_delete (struct wd_world *w, const char *table, const char *key)
{
  wd_lock (w);
  w->version++;
  change_row (w, table, key, NULL);
  wd_unlock (w);
}

int
wd_holder (struct wd_world *w)
{
  static const char name[] = "frontend-z1-";
  const struct wd_row *row;
  const char *found;
  guchar *text;
  gsize size;
  int vm = -1;

  wd_lock (w);
  row = g_hash_table_lookup (w->rows, "jobs/~lease");
  if (row)
    {
      char *copy;

      text = g_base64_decode (row->value, &size);
      copy = g_strndup ((const char *)text, size);
      found = strstr (copy, name);
      vm = found ? atoi (found + sizeof name - 1) - 1 : -1;
      g_free (copy);
      g_free (text);
    }
  wd_unlock (w);
  return vm;
}

static const char *
text_of (const json_t *o, const char *name)
{
  const char *s = json_string_value (json_object_get (o, name));

  return s ? s : "";
}

static int64_t
number_of (const json_t *o, const char *name)
{
  return (int64_t)json_number_value (json_object_get (o, name));
}

static json_t *
row_json (const struct wd_row *row)
{
  json_t *o = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "table", row->table, "part",
                         "", "key", row->key, "value", row->value,
                         "object_version", (json_int_t)row->version);

  if (row->deleted)
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

static json_t *
store_answer (json_t *rows, int64_t version)
{
  return json_pack ("{s:o,s:I,s:I}", "rows", rows, "object_version",
                    (json_int_t)version, "now_ms", (json_int_t)wd_now_ms ());
}

/* Bytes that the base64 TEXT stands for.  */
static size_t
decoded_size (const char *text)
{
  size_t n = strlen (text), padding = 0;

  while (padding < 2 && padding < n && text[n - 1 - padding] == '=')
    padding++;
  return n / 4 * 3 - padding;
}

/* Why the store refuses BODY as a whole, or NULL.  */
static const char *
transaction_fault (struct wd_world *w, const json_t *body, size_t size)
{
  size_t entries = json_array_size (json_object_get (body, "expected"))
                   + json_array_size (json_object_get (body, "write"))
                   + json_array_size (json_object_get (body, "remove")),
         i;
  json_t *o;

  if (!body)
    return "the body can't be read";
  if (entries > MAX_ENTRIES || size > MAX_CALL_BYTES)
    return "the call is too large";
  json_array_foreach (json_object_get (body, "write"), i, o)
  {
    size_t bytes = decoded_size (text_of (o, "value"));

    if (!strcmp (text_of (o, "table"), "op")
        || !strcmp (text_of (o, "table"), "servers"))
      return "not the system's table";
    if (bytes <= WD_ROW_BYTES)
      continue;
    if (w->refused_rows++ % 20 == 0)
      wd_note (w, "store    refuses a row: table %s key %s has %zu bytes",
               text_of (o, "table"), text_of (o, "key"), bytes);
    return "a value is larger than row_bytes";
  }
  return NULL;
}

static void
run_transaction (struct wd_world *w, const struct sv_request *r,
                 struct sv_reply *reply)
{
  json_t *body = json_loadb (r->body, r->size, 0, NULL), *o;
  json_t *present = json_array ();
  const char *fault;
  size_t i;

  usleep (TRANSACTION_MS * 1000);
  wd_lock (w);
  fault = transaction_fault (w, body, r->size);
  if (fault)
    {
      sv_set_error (reply, 400, fault);
      json_decref (present);
      goto out;
    }
  json_array_foreach (json_object_get (body, "expected"), i, o)
  {
    char *name
        = g_strdup_printf ("%s/%s", text_of (o, "table"), text_of (o, "key"));
    const struct wd_row *row = g_hash_table_lookup (w->rows, name);

    g_free (name);
    if ((row ? row->version : 0) != number_of (o, "object_version"))
      reply->status = 412;
    if (row)
      json_array_append_new (present, row_json (row));
  }
  if (reply->status == 200)
    {
      json_array_clear (present);
      w->version++;
      json_array_foreach (json_object_get (body, "write"), i, o) change_row (
          w, text_of (o, "table"), text_of (o, "key"), text_of (o, "value"));
      json_array_foreach (json_object_get (body, "remove"), i, o)
          change_row (w, text_of (o, "table"), text_of (o, "key"), NULL);
    }
  reply->json = store_answer (present, w->version);
out:
  wd_unlock (w);
  json_decref (body);
}

static int
by_key (const void *a, const void *b)
{
  const struct wd_row *x = *(struct wd_row *const *)a,
                      *y = *(struct wd_row *const *)b;

  return strcmp (x->key, y->key);
}

static void
read_rows (struct wd_world *w, const struct sv_request *r,
           struct sv_reply *reply)
{
  const char *table = sv_query (r, "table"), *from = sv_query (r, "from"),
             *to = sv_query (r, "target");
  int64_t limit = sv_query_int (r, "limit", PAGE_ROWS);
  GPtrArray *found = g_ptr_array_new ();
  json_t *rows = json_array ();
  size_t bytes = 0;
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  wd_lock (w);
  g_hash_table_iter_init (&iter, w->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct wd_row *row = value;

      if (!strcmp (row->table, table ? table : "")
          && (!from || strcmp (row->key, from) >= 0)
          && (!to || !*to || strcmp (row->key, to) < 0))
        g_ptr_array_add (found, row);
    }
  if (found->len)
    qsort (found->pdata, found->len, sizeof (gpointer), by_key);
  while (n < found->len && n < (guint)MIN (limit, PAGE_ROWS)
         && bytes < MAX_CALL_BYTES)
    {
      const struct wd_row *row = found->pdata[n++];

      bytes += strlen (row->value) + 100;
      json_array_append_new (rows, row_json (row));
    }
  reply->json = store_answer (rows, w->version);
  json_object_set_new (reply->json, "has_more", json_boolean (n < found->len));
  wd_unlock (w);
  g_ptr_array_free (found, TRUE);
}

static void
follow_rows (struct wd_world *w, const struct sv_request *r,
             struct sv_reply *reply)
{
  const char *table = sv_query (r, "table");
  int64_t after = sv_query_int (r, "after", 0);
  int64_t deadline = wd_now_ms () + sv_query_int (r, "wait_ms", 0);
  json_t *rows = json_array ();

  wd_lock (w);
  for (;;)
    {
      for (guint i = 0; i < w->history->len; i++)
        {
          const struct wd_row *row = w->history->pdata[i];

          if (row->version > after && !strcmp (row->table, table))
            json_array_append_new (rows, row_json (row));
        }
      if (json_array_size (rows) || wd_now_ms () >= deadline || w->stopping)
        break;
      wait_change (w);
    }
  reply->json = store_answer (rows, w->version);
  wd_unlock (w);
}

static void
handle_store (void *arg, const struct sv_request *r, struct sv_reply *reply)
{
  struct wd_world *w = arg;

  if (!strcmp (r->path, "/v1/rows-tx"))
    run_transaction (w, r, reply);
  else if (!strcmp (r->path, "/v1/rows-get"))
    read_rows (w, r, reply);
  else if (!strcmp (r->path, "/v1/rows-feed"))
    follow_rows (w, r, reply);
  else
    sv_set_error (reply, 404, "no such call");
}

/* The workers.  */

static int64_t
clock_ms (const struct wd_worker *k)
{
  return (int64_t)((double)(wd_now_ms () - k->started_ms) * k->rate);
}

static struct wd_run *
run_at (const struct wd_worker *k, guint i)
{
  return &g_array_index (k->runs, struct wd_run, i);
}

static int64_t
worked_ms (const struct wd_run *r)
{
  const char *saved = strrchr (r->resumed, '=');

  return (r->work_from_ms ? wd_now_ms () - r->work_from_ms : 0)
         + (saved ? strtoll (saved + 1, NULL, 10) : 0);
}

/* The newest checkpoint of R: a prefix, the task and the work that it
   holds.  */
static void
write_checkpoint (struct wd_world *w, const struct wd_run *r, char out[512])
{
  int64_t step = (int64_t)(w->set.checkpoint_interval_s * 1000);
  int64_t held = worked_ms (r) / step * step;

  if (r->stop_at_ms)
    held = worked_ms (r);
  out[0] = '\0';
  if (!r->checkpoints)
    return;
  if (held <= 0)
    g_strlcpy (out, r->resumed, 512);
  else
    snprintf (out, 512, "%s/%s/%lld=%lld",
              w->arg ? (const char *)w->arg : "saved", r->task,
              (long long)r->number, (long long)held);
}

static void
raise_highest (struct wd_worker *k, const char *task, int64_t number)
{
  int64_t *highest = g_hash_table_lookup (k->highest, task);

  if (!highest)
    {
      highest = g_new0 (int64_t, 1);
      g_hash_table_insert (k->highest, g_strdup (task), highest);
    }
  *highest = MAX (*highest, number);
}

static int
same_gang (const struct wd_run *a, const struct wd_run *b)
{
  size_t n = (size_t)(strrchr (a->task, '.') - a->task);

  return a->number == b->number
         && n == (size_t)(strrchr (b->task, '.') - b->task)
         && !strncmp (a->task, b->task, n);
}

static int
gang_present (struct wd_world *w, const struct wd_run *r)
{
  int count = 0;

  for (int n = 0; n < w->set.workers; n++)
    for (guint i = 0; w->worker[n].up && i < w->worker[n].runs->len; i++)
      count += same_gang (run_at (&w->worker[n], i), r);
  return count;
}

/* The other members hear after BREAK_MS that R has ended.  */
static void
break_gang (struct wd_world *w, const struct wd_run *r)
{
  for (int n = 0; n < w->set.workers; n++)
    for (guint i = 0; i < w->worker[n].runs->len; i++)
      {
        struct wd_run *other = run_at (&w->worker[n], i);

        if (same_gang (other, r) && !other->broken_from_ms)
          other->broken_from_ms = wd_now_ms () + BREAK_MS;
      }
}

static void
end_run (struct wd_world *w, struct wd_worker *k, guint i, const char *how)
{
  struct wd_run r = *run_at (k, i);
  struct wd_end e = { .number = ++k->last_end, .run = r.number };

  g_strlcpy (e.task, r.task, sizeof e.task);
  g_strlcpy (e.how, how, sizeof e.how);
  write_checkpoint (w, &r, e.saved);
  g_array_remove_index (k->runs, i);
  g_array_append_val (k->ends, e);
  raise_highest (k, r.task, r.number);
  if (r.gang && strcmp (how, "done") != 0)
    break_gang (w, &r);
  if (w->on_end)
    w->on_end (w, k, &r, how);
  pthread_cond_broadcast (&w->changed);
}

static void
begin_life (struct wd_world *w, struct wd_worker *k)
{
  k->born = MAX (wall_ms (), k->born + 1);
  k->started_ms = wd_now_ms ();
  k->token = k->until_ms = k->last_end = k->sequence = k->beat_ms = 0;
  k->draining = 0;
  g_array_set_size (k->runs, 0);
  g_array_set_size (k->ends, 0);
  g_hash_table_remove_all (k->highest);
  k->up = 1;
  (void)w;
}

void
wd_crash (struct wd_world *w, int n)
{
  struct wd_worker *k = &w->worker[n];

  wd_note (w, "worker   %s crashes", k->id);
  for (guint i = 0; i < k->runs->len; i++)
    {
      wd_note (w, "lost     %s run %lld on %s", run_at (k, i)->task,
               (long long)run_at (k, i)->number, k->id);
      if (w->on_end)
        w->on_end (w, k, run_at (k, i), "lost");
    }
  k->up = 0;
  for (guint i = 0; i < k->runs->len; i++)
    if (run_at (k, i)->gang)
      break_gang (w, run_at (k, i));
  g_array_set_size (k->runs, 0);
  pthread_cond_broadcast (&w->changed);
}

void
wd_restart (struct wd_world *w, int n)
{
  begin_life (w, &w->worker[n]);
  wd_note (w, "worker   %s is back, another incarnation", w->worker[n].id);
}

void
wd_drain (struct wd_world *w, int n, int remaining_ms)
{
  struct wd_worker *k = &w->worker[n];

  wd_note (w, "worker   %s drains, %d ms remain", k->id, remaining_ms);
  k->draining = 1;
  k->drained_ms = remaining_ms;
  k->beat_ms = 0;
}

static int
starts_with (const char *text, const char *prefix)
{
  return !strncmp (text, prefix, strlen (prefix));
}

struct wd_worker *
wd_find_run (struct wd_world *w, const char *task_prefix)
{
  for (int n = 0; n < w->set.workers; n++)
    for (guint i = 0; i < w->worker[n].runs->len; i++)
      if (w->worker[n].up
          && starts_with (run_at (&w->worker[n], i)->task, task_prefix))
        return &w->worker[n];
  return NULL;
}

int
wd_running (struct wd_world *w, const char *task_prefix)
{
  int count = 0;

  for (int n = 0; n < w->set.workers; n++)
    for (guint i = 0; i < w->worker[n].runs->len; i++)
      count += w->worker[n].up
               && starts_with (run_at (&w->worker[n], i)->task, task_prefix);
  return count;
}

static int
find_task (const struct wd_worker *k, const char *task, int64_t number)
{
  for (guint i = 0; i < k->runs->len; i++)
    if (!strcmp (run_at (k, i)->task, task) && run_at (k, i)->number == number)
      return (int)i;
  return -1;
}

static void
extend (struct wd_world *w, struct wd_worker *k, int64_t until_ms)
{
  int64_t most = clock_ms (k) + w->set.hold_max_ms;

  k->until_ms = MAX (k->until_ms, MIN (until_ms, most));
}

/* Executes a start.  Returns the reason of a refusal, or NULL.  */
static const char *
start_run (struct wd_world *w, struct wd_worker *k, const json_t *o)
{
  struct wd_run r
      = { .number = number_of (o, "run"), .started_ms = wd_now_ms () };
  const int64_t *highest;
  const char *reason = NULL;

  g_strlcpy (r.task, text_of (o, "task"), sizeof r.task);
  g_strlcpy (r.resumed, text_of (o, "checkpoint"), sizeof r.resumed);
  highest = g_hash_table_lookup (k->highest, r.task);
  if (number_of (o, "deadline_ms") <= clock_ms (k))
    return "late";
  if (highest && *highest >= r.number)
    reason = "old";
  extend (w, k, number_of (o, "deadline_ms"));
  if (reason || find_task (k, r.task, r.number) >= 0)
    return reason;
  if (w->on_start)
    w->on_start (w, k, &r);
  r.work_from_ms = r.gang ? 0 : r.started_ms;
  g_array_append_val (k->runs, r);
  return NULL;
}

static void
stop_run (struct wd_world *w, struct wd_worker *k, const json_t *o)
{
  const char *task = text_of (o, "task");
  int64_t number = number_of (o, "run");
  int i = find_task (k, task, number);

  if (i < 0)
    raise_highest (k, task, number);
  else if (!run_at (k, (guint)i)->stop_at_ms)
    run_at (k, (guint)i)->stop_at_ms = wd_now_ms () + w->set.stop_ms / 2;
}

static json_t *
list_runs (struct wd_world *w, const struct wd_worker *k)
{
  json_t *list = json_array ();

  for (guint i = 0; i < k->runs->len; i++)
    {
      const struct wd_run *r = run_at (k, i);
      int64_t percent
          = r->lasts ? 100 : worked_ms (r) * 100 / MAX (r->work_ms, 1);
      char saved[512];

      write_checkpoint (w, r, saved);
      json_array_append_new (list, json_pack ("[s,I,s,I]", r->task,
                                              (json_int_t)r->number, saved,
                                              (json_int_t)MIN (percent, 100)));
    }
  return list;
}

static json_t *
list_ends (const struct wd_worker *k)
{
  json_t *list = json_array ();

  for (guint i = 0; i < k->ends->len && i < MAX_LISTED_ENDS; i++)
    {
      const struct wd_end *e = &g_array_index (k->ends, struct wd_end, i);

      json_array_append_new (
          list, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                           (json_int_t)e->run, e->how, e->saved));
    }
  return list;
}

static void
hold (struct wd_world *w, struct wd_worker *k, const json_t *o,
      struct sv_reply *reply)
{
  int64_t deadline = wd_now_ms () + number_of (o, "wait_ms"), born = k->born;

  while (k->ends->len
         && g_array_index (k->ends, struct wd_end, 0).number
                <= number_of (o, "last_seen"))
    g_array_remove_index (k->ends, 0);
  if (number_of (o, "deadline_ms"))
    extend (w, k, number_of (o, "deadline_ms"));
  while (k->up && k->born == born && !k->ends->len && wd_now_ms () < deadline
         && !w->stopping)
    wait_change (w);
  reply->close = !k->up || k->born != born;
}

static void
handle_order (struct wd_world *w, struct wd_worker *k,
              const struct sv_request *r, struct sv_reply *reply)
{
  json_t *o = json_loadb (r->body, r->size, 0, NULL);
  const char *reason = NULL;
  int is_hold = !strcmp (r->path, "/v1/hold");

  if (number_of (o, "fencing_token") < k->token)
    reason = "fence";
  else
    k->token = number_of (o, "fencing_token");
  if (reason)
    ;
  else if (is_hold)
    hold (w, k, o, reply);
  else if (!strcmp (r->path, "/v1/run-start"))
    reason = start_run (w, k, o);
  else if (!strcmp (r->path, "/v1/run-stop"))
    stop_run (w, k, o);
  if (reason)
    reply->status = 409;
  reply->json = json_pack ("{s:I,s:I}", "clock_ms", (json_int_t)clock_ms (k),
                           "born", (json_int_t)k->born);
  if (reason)
    json_object_set_new (reply->json, "reason", json_string (reason));
  else if (is_hold)
    {
      json_object_set_new (reply->json, "running", list_runs (w, k));
      json_object_set_new (reply->json, "ended", list_ends (k));
    }
  json_decref (o);
}

static void
handle_worker (void *arg, const struct sv_request *r, struct sv_reply *reply)
{
  struct wd_worker *k = arg;
  struct wd_world *w = k->world;
  const char *expected = sv_header (r, "X-Skylarkramp-Expected-Instance");
  int percent = g_random_int_range (0, 100);
  int is_start = !strcmp (r->path, "/v1/run-start");

  wd_lock (w);
  if (!k->up)
    reply->close = 1;
  else if (expected && strcmp (expected, k->id) != 0)
    {
      reply->status = 421;
      reply->json = json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (k));
    }
  else if (!strcmp (r->path, "/health"))
    reply->status = k->draining ? 503 : 200;
  else if (is_start && percent < k->refused_percent)
    {
      sv_set_error (reply, 503, "busy");
      wd_note (w, "refused  a start on %s with 503, nothing is done", k->id);
    }
  else
    handle_order (w, k, r, reply);
  if (is_start && !reply->close && percent >= k->refused_percent
      && percent < k->refused_percent + k->unanswered_percent)
    {
      wd_note (w, "reset    %s closes the connection of a start it executed",
               k->id);
      reply->close = 1;
    }
  wd_unlock (w);
}

static void
beat (struct wd_world *w, struct wd_worker *k)
{
  json_t *o;
  char *text;

  if (k->beat_ms && wd_now_ms () - k->beat_ms < WD_BEAT_MS)
    return;
  k->beat_ms = wd_now_ms ();
  o = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:I},s:[s,s],s:I,"
                 "s:I,s:I}",
                 "service", "desk", "address", k->server.address, "zone", "z1",
                 "version", "v1", "slots", 8, "state",
                 k->draining ? "draining" : "ready", "cold_remaining_ms", 0,
                 "capacity", "cpu", (json_int_t)w->set.cpu,
                 "memory_request_mb", (json_int_t)w->set.memory_mb, "gpu",
                 (json_int_t)w->set.gpu, "labels", "a", k->rack, "clock_ms",
                 (json_int_t)clock_ms (k), "sequence",
                 (json_int_t)++k->sequence, "born", (json_int_t)k->born);
  if (k->draining)
    json_object_set_new (o, "remaining_ms", json_integer (k->drained_ms));
  text = json_dumps (o, JSON_COMPACT);
  put_text (w, "servers", k->id, text);
  free (text);
  json_decref (o);
}

/* How run R on K ends now, or NULL.  */
static const char *
due_end (struct wd_world *w, const struct wd_worker *k, struct wd_run *r)
{
  int64_t now = wd_now_ms ();

  if (r->gang && !r->work_from_ms && gang_present (w, r) >= r->gang)
    r->work_from_ms = now;
  if (r->stop_at_ms && now >= r->stop_at_ms)
    return "stopped";
  if (r->work_from_ms && k->fail_after_ms
      && now - r->work_from_ms >= k->fail_after_ms)
    return "failed";
  if (r->broken_from_ms && now >= r->broken_from_ms)
    return "broken";
  if (!r->work_from_ms)
    return now - r->started_ms > GANG_MS ? "alone" : NULL;
  if (r->lasts || worked_ms (r) < r->work_ms)
    return NULL;
  return r->fails ? "failed" : "done";
}

static void
advance (struct wd_world *w, struct wd_worker *k)
{
  while (k->runs->len && clock_ms (k) >= k->until_ms)
    end_run (w, k, 0, "lapsed");
  for (guint i = k->runs->len; i-- > 0;)
    {
      const char *how = due_end (w, k, run_at (k, i));

      if (how)
        end_run (w, k, i, how);
    }
}

static void *
tick (void *arg)
{
  struct wd_world *w = arg;

  wd_lock (w);
  while (!w->stopping)
    {
      for (int n = 0; n < w->set.workers; n++)
        if (w->worker[n].up)
          {
            advance (w, &w->worker[n]);
            beat (w, &w->worker[n]);
          }
      wd_unlock (w);
      usleep (TICK_MS * 1000);
      wd_lock (w);
    }
  wd_unlock (w);
  return NULL;
}

void
wd_init (struct wd_world *w, const struct wd_settings *set)
{
  const char *path = getenv ("RECORD"), *dir = getenv ("WORK_DIR");
  struct hc_config hc = { .max_in_progress = 64,
                          .connections_per_host = 8,
                          .connect_timeout_ms = 1000 };
  pthread_condattr_t attr;

  memset (w, 0, sizeof *w);
  w->set = *set;
  w->began_ms = wd_now_ms ();
  g_strlcpy (w->dir, dir ? dir : "/tmp", sizeof w->dir);
  w->record = fopen (path ? path : "record.txt", "w");
  if (!w->record || bs_init ())
    cannot_run ("the record or the libraries");
  pthread_mutex_init (&w->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&w->changed, &attr);
  w->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  w->history = g_ptr_array_new_with_free_func (free_row);
  w->client = hc_new (&hc);
  if (!w->client || sv_init (&w->store, "127.0.0.1:0", handle_store, NULL, w))
    cannot_run ("the store");
  for (int n = 0; n < set->workers; n++)
    {
      struct wd_worker *k = &w->worker[n];

      k->world = w;
      k->n = n;
      k->rate = 1.0;
      snprintf (k->id, sizeof k->id, "i-%08x", 0x7f3a9100 + n);
      snprintf (k->rack, sizeof k->rack, "r1-%d", n / 8);
      k->runs = g_array_new (FALSE, TRUE, sizeof (struct wd_run));
      k->ends = g_array_new (FALSE, TRUE, sizeof (struct wd_end));
      k->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      if (sv_init (&k->server, "127.0.0.1:0", handle_worker, NULL, k))
        cannot_run ("a worker");
      begin_life (w, k);
    }
  if (pthread_create (&w->ticker, NULL, tick, w))
    cannot_run ("a thread");
}

/* The processes under test.  */

static void
replace (GString *text, const char *name, const char *value)
{
  char *field = g_strdup_printf ("{{%s}}", name);

  g_string_replace (text, field, value, 0);
  g_free (field);
}

/* Renders deploy/batch.conf for VM N as DEPLOY.md says.  */
static void
write_settings (struct wd_world *w, int n)
{
  struct wd_vm *vm = &w->vm[n];
  GString *text;
  char *template, *section, *end, number[32];

  if (!g_file_get_contents ("deploy/batch.conf", &template, NULL, NULL))
    cannot_run ("deploy/batch.conf");
  text = g_string_new (template);
  g_free (template);
  /* No bounds.evacuation_ms on this deployment.  */
  section = strstr (text->str, "{{#bounds.evacuation_ms}}");
  if (section)
    {
      static const char close[] = "{{/bounds.evacuation_ms}}";

      end = strstr (section, close);
      g_string_erase (text, section - text->str,
                      end + sizeof close - 1 - section);
    }
  snprintf (number, sizeof number, "frontend-z1-%d", n + 1);
  replace (text, "node", number);
  replace (text, "listen.front", vm->front);
  replace (text, "listen.readiness", vm->ready);
  replace (text, "ip", vm->ip);
  replace (text, "platform.address", w->store.address);
  snprintf (number, sizeof number, "%d", w->set.hold_max_ms);
  replace (text, "bounds.hold_max_ms", number);
  replace (text, "bounds.far_factor", "3");
  replace (text, "bounds.revoke_ms", "5000");
  replace (text, "bounds.grace_s", "6");
  replace (text, "limits.cpu_share", "0.25");
  snprintf (number, sizeof number, "%d", w->set.reclaim_ms);
  replace (text, "bounds.reclaim_ms", number);
  snprintf (number, sizeof number, "%d", w->set.stop_ms);
  replace (text, "bounds.stop_ms", number);
  snprintf (number, sizeof number, "%g", w->set.checkpoint_interval_s);
  replace (text, "bounds.checkpoint_interval_s", number);
  replace (text, "internal_ports.1", "7015");
  if (strstr (text->str, "{{"))
    cannot_run ("a placeholder of deploy/batch.conf that the case lacks");
  if (!g_file_set_contents (vm->settings, text->str, -1, NULL))
    cannot_run ("the settings file");
  g_string_free (text, TRUE);
}

/* Exits with 2 if a port that the VM at IP needs is in use.  */
static void
check_free (const char *ip)
{
  static const int port[] = { 8521, 8523, 7000, 7015 };
  struct sockaddr_in a = { .sin_family = AF_INET };

  inet_pton (AF_INET, ip, &a.sin_addr);
  for (size_t i = 0; i < G_N_ELEMENTS (port); i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), error;

      a.sin_port = htons ((uint16_t)port[i]);
      error = bind (fd, (const struct sockaddr *)&a, sizeof a);
      close (fd);
      if (error)
        cannot_run ("a port on a loopback address is in use");
    }
}

/* run-case.sh ends the processes in this file if the driver can't.  */
static void
note_pid (struct wd_world *w, pid_t pid)
{
  char path[300];
  FILE *f;

  snprintf (path, sizeof path, "%s/pids", w->dir);
  f = fopen (path, "a");
  if (!f)
    cannot_run ("the folder for logs");
  fprintf (f, "%d\n", (int)pid);
  fclose (f);
}

void
wd_start_vm (struct wd_world *w, int n)
{
  struct wd_vm *vm = &w->vm[n];
  char program[] = "target/bin/skr-batch", argument[400];
  char *argv[] = { program, argument, NULL };
  posix_spawn_file_actions_t files;

  if (!*vm->ip)
    {
      /* Each driver has loopback addresses of its own, as the ports of the
         settings template are fixed.  */
      unsigned pid = (unsigned)getpid ();
      unsigned net = 16 + pid % 200, host = 1 + pid / 200 % 250;

      snprintf (vm->ip, sizeof vm->ip, "127.%u.%u.%d", net, host, n + 1);
      snprintf (vm->front, sizeof vm->front, "127.%u.%u.%d:8521", net, host,
                n + 1);
      snprintf (vm->ready, sizeof vm->ready, "127.%u.%u.%d:8523", net, host,
                n + 1);
      check_free (vm->ip);
      snprintf (vm->settings, sizeof vm->settings, "%s/vm%d.conf", w->dir, n);
      snprintf (vm->log, sizeof vm->log, "%s/vm%d.log", w->dir, n);
      write_settings (w, n);
    }
  snprintf (argument, sizeof argument, "--settings=%s", vm->settings);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, 1, vm->log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&files, 1, 2);
  if (posix_spawn (&vm->pid, program, &files, NULL, argv, environ))
    cannot_run ("target/bin/skr-batch does not start");
  posix_spawn_file_actions_destroy (&files);
  note_pid (w, vm->pid);
  wd_note (w, "process  vm%d is started", n);
}

void
wd_signal_vm (struct wd_world *w, int n, int signal)
{
  if (w->vm[n].pid <= 0)
    return;
  wd_note (w, "process  vm%d gets signal %d", n, signal);
  kill (w->vm[n].pid, signal);
  if (signal != SIGKILL)
    return;
  waitpid (w->vm[n].pid, NULL, 0);
  w->vm[n].pid = 0;
}

static int
is_ready (struct wd_world *w, int n)
{
  char url[100], body[100];
  struct hc_request r = { .method = "GET", .url = url, .timeout_ms = 1000 };
  struct hc_answer a;

  snprintf (url, sizeof url, "http://%s/v1/readiness", w->vm[n].ready);
  return !hc_call (w->client, &r, &a, body, sizeof body)
         && a.outcome == HC_ANSWERED && a.status == 200;
}

void
wd_wait_ready (struct wd_world *w)
{
  int64_t deadline = wd_now_ms () + READY_TIMEOUT_MS;

  for (int n = 0; n < w->set.vms; n++)
    while (!is_ready (w, n))
      {
        if (wd_now_ms () > deadline)
          {
            wd_fini (w);
            cannot_run ("the processes do not get ready");
          }
        usleep (50000);
      }
  wd_note (w, "process  all are ready");
}

void
wd_fini (struct wd_world *w)
{
  int64_t deadline = wd_now_ms () + GRACE_MS;
  char path[300];

  for (int n = 0; n < w->set.vms; n++)
    if (w->vm[n].pid > 0)
      {
        kill (w->vm[n].pid, SIGCONT);
        kill (w->vm[n].pid, SIGTERM);
      }
  for (int n = 0; n < w->set.vms; n++)
    while (w->vm[n].pid > 0 && waitpid (w->vm[n].pid, NULL, WNOHANG) == 0)
      {
        if (wd_now_ms () > deadline)
          kill (w->vm[n].pid, SIGKILL);
        usleep (20000);
      }
  snprintf (path, sizeof path, "%s/pids", w->dir);
  unlink (path);
  wd_lock (w);
  w->stopping = 1;
  pthread_cond_broadcast (&w->changed);
  wd_unlock (w);
  pthread_join (w->ticker, NULL);
  fclose (w->record);
}

/* The client.  */

int
wd_call (struct wd_world *w, int n, const char *method, const char *path,
         const char *key, const char *body, char answer[WD_ANSWER_SIZE])
{
  char url[300], authorization[100], text[WD_ANSWER_SIZE];
  struct hc_request r
      = { .method = method,
          .url = url,
          .body = body,
          .header = { "Host: desk.example", authorization,
                      "X-Skylarkramp-Deadline-Remaining: 3000" },
          .timeout_ms = CALL_TIMEOUT_MS };
  struct hc_answer a;
  int status;

  snprintf (url, sizeof url, "http://%s%s", w->vm[n].front, path);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            key);
  text[0] = '\0';
  if (hc_call (w->client, &r, &a, text, sizeof text))
    return 0;
  status = a.outcome == HC_ANSWERED ? (int)a.status : 0;
  if (answer)
    g_strlcpy (answer, status ? text : "", WD_ANSWER_SIZE);
  wd_note (w, "client   %s %s at vm%d -> %d %.60s", method, path, n, status,
           status ? text : "no answer");
  return status;
}

int
wd_submit (struct wd_world *w, int n, const char *path, const char *key,
           const char *body)
{
  int status = 0;

  for (int i = 0; i < CLIENT_TRIES; i++)
    {
      status
          = wd_call (w, (n + i) % w->set.vms, "POST", path, key, body, NULL);
      if (status / 100 == 2 || status == 400 || status == 422)
        return status;
      usleep (300000);
    }
  return status;
}
