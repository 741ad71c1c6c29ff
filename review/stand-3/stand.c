#include "review/stand-3/stand.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Store.  */

struct row
{
  char *table, *key, *value; /* value: base64; NULL: dropped */
  int64_t version;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static FILE *record;
static int64_t zero_ms;
static struct sv_server store;
static GTree *rows;       /* "table\1key" to struct row */
static GPtrArray *history; /* struct row, by version */
static int64_t version, trimmed;
static rs_store_fate *store_fate;
static struct rs_worker worker[RS_MAX_WORKERS];
static GHashTable *started; /* task to number of starts */
static int ending;
static rs_order_fate *order_fate;
static int orders, late_orders;
static GHashTable *taken; /* tasks whose ends were taken note of */

struct late_order
{
  struct rs_worker *worker;
  int64_t born, due_ms;
  char *path;
  json_t *body;
};
static GArray *late; /* struct late_order */

static const char *execute (struct rs_worker *w, const char *path,
                            const json_t *o);
static pthread_t ticker;

int64_t
rs_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
rs_sleep (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

void
rs_note (const char *format, ...)
{
  va_list args;
  char text[700];

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  fprintf (record, "%8.3f %s\n", (double)(rs_now_ms () - zero_ms) / 1000,
           text);
  fflush (record);
}

static int
compare (const void *a, const void *b, void *arg)
{
  (void)arg;
  return strcmp (a, b);
}

static void
wait_a_little (void)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += 20000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&changed, &lock, &until);
}

static char *
encode (const char *text)
{
  size_t n = strlen (text);
  size_t size = sodium_base64_encoded_len (n, sodium_base64_VARIANT_ORIGINAL);
  char *out = g_malloc (size);

  sodium_bin2base64 (out, size, (const unsigned char *)text, n,
                     sodium_base64_VARIANT_ORIGINAL);
  return out;
}

static struct row *
new_row (const char *table, const char *key, const char *value)
{
  struct row *r = g_new0 (struct row, 1);

  r->table = g_strdup (table);
  r->key = g_strdup (key);
  r->value = g_strdup (value);
  r->version = version;
  return r;
}

/* VALUE is base64; NULL drops the row.  */
static void
change (const char *table, const char *key, const char *value)
{
  char *name = g_strdup_printf ("%s\1%s", table, key);

  if (value)
    g_tree_replace (rows, name, new_row (table, key, value));
  else
    {
      g_tree_remove (rows, name);
      g_free (name);
    }
  g_ptr_array_add (history, new_row (table, key, value));
  pthread_cond_broadcast (&changed);
}

static const struct row *
find_row (const char *table, const char *key)
{
  char *name = g_strdup_printf ("%s\1%s", table, key);
  const struct row *r = g_tree_lookup (rows, name);

  g_free (name);
  return r;
}

static void
put (const char *table, const char *key, const char *value)
{
  char *text = value ? encode (value) : NULL;

  version++;
  change (table, key, text);
  g_free (text);
}

void
rs_store_put (const char *table, const char *key, const char *value)
{
  pthread_mutex_lock (&lock);
  put (table, key, value);
  pthread_mutex_unlock (&lock);
}

char *
rs_store_get (const char *table, const char *key)
{
  const struct row *r;
  char *out = NULL;
  size_t n = 0;

  pthread_mutex_lock (&lock);
  r = find_row (table, key);
  if (r)
    {
      out = g_malloc0 (strlen (r->value) + 1);
      sodium_base642bin ((unsigned char *)out, strlen (r->value), r->value,
                         strlen (r->value), NULL, &n, NULL,
                         sodium_base64_VARIANT_ORIGINAL);
      out[n] = '\0';
    }
  pthread_mutex_unlock (&lock);
  return out;
}

void
rs_store_compact (void)
{
  pthread_mutex_lock (&lock);
  trimmed = version;
  g_ptr_array_set_size (history, 0);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

void
rs_store_set_fate (rs_store_fate *fate)
{
  pthread_mutex_lock (&lock);
  store_fate = fate;
  pthread_mutex_unlock (&lock);
}

static json_t *
row_json (const struct row *r)
{
  json_t *o = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "table", r->table, "part",
                         "", "key", r->key, "value", r->value ? r->value : "",
                         "object_version", (json_int_t)r->version);

  if (!r->value)
    json_object_set_new (o, "deleted", json_true ());
  return o;
}

static json_t *
answer (json_t *list)
{
  return json_pack ("{s:o,s:I,s:I}", "rows", list, "object_version",
                    (json_int_t)version, "now_ms", (json_int_t)rs_now_ms ());
}

static const char *
text_of (const json_t *o, const char *name)
{
  const char *s = json_string_value (json_object_get (o, name));

  return s ? s : "";
}

static void
transact (const char *body, struct sv_reply *reply)
{
  json_t *root = json_loads (body, 0, NULL), *o, *bad = json_array ();
  size_t i;

  json_array_foreach (json_object_get (root, "expected"), i, o)
  {
    const struct row *r = find_row (text_of (o, "table"), text_of (o, "key"));
    int64_t is = r ? r->version : 0;

    if (is == json_integer_value (json_object_get (o, "object_version")))
      continue;
    reply->status = 412;
    if (r)
      json_array_append_new (bad, row_json (r));
  }
  if (reply->status == 200)
    {
      version++;
      json_array_foreach (json_object_get (root, "write"), i, o)
          change (text_of (o, "table"), text_of (o, "key"),
                  text_of (o, "value"));
      json_array_foreach (json_object_get (root, "remove"), i, o)
          change (text_of (o, "table"), text_of (o, "key"), NULL);
    }
  reply->json = answer (bad);
  json_decref (root);
}

struct range
{
  const char *table, *from, *to;
  json_t *list;
  int more;
};

static gboolean
add_row (void *name, void *value, void *arg)
{
  const struct row *r = value;
  struct range *g = arg;

  (void)name;
  if (strcmp (r->table, g->table) != 0 || strcmp (r->key, g->from) < 0
      || (*g->to && strcmp (r->key, g->to) >= 0))
    return FALSE;
  if (json_array_size (g->list) == 500)
    {
      g->more = 1;
      return TRUE;
    }
  json_array_append_new (g->list, row_json (r));
  return FALSE;
}

static const char *
query (const struct sv_request *q, const char *name)
{
  const char *s = sv_query (q, name);

  return s ? s : "";
}

static void
read_rows (const struct sv_request *q, struct sv_reply *reply)
{
  struct range g = { query (q, "table"), query (q, "from"),
                     query (q, "target"), json_array (), 0 };

  g_tree_foreach (rows, add_row, &g);
  reply->json = answer (g.list);
  json_object_set_new (reply->json, "has_more", json_boolean (g.more));
}

static void
feed (const struct sv_request *q, struct sv_reply *reply)
{
  int64_t after = sv_query_int (q, "after", 0);
  int64_t until = rs_now_ms () + sv_query_int (q, "wait_ms", 0);
  const char *table = query (q, "table");
  json_t *list = json_array ();

  for (;;)
    {
      if (after < trimmed)
        {
          json_decref (list);
          sv_set_error (reply, 410, "the history is gone");
          return;
        }
      for (guint i = 0; i < history->len; i++)
        {
          const struct row *r = history->pdata[i];

          if (r->version > after && !strcmp (r->table, table))
            json_array_append_new (list, row_json (r));
        }
      if (json_array_size (list) || rs_now_ms () >= until || ending)
        break;
      wait_a_little ();
    }
  reply->json = answer (list);
}

static void
serve_store (void *arg, const struct sv_request *q, struct sv_reply *reply)
{
  int fate;

  (void)arg;
  reply->status = 200;
  pthread_mutex_lock (&lock);
  fate = store_fate ? store_fate (q) : 0;
  if (fate == 1)
    ;
  else if (!strcmp (q->path, "/v1/rows-tx"))
    transact (q->body, reply);
  else if (!strcmp (q->path, "/v1/rows-get"))
    read_rows (q, reply);
  else if (!strcmp (q->path, "/v1/rows-feed"))
    feed (q, reply);
  else
    sv_set_error (reply, 404, "no such call");
  pthread_mutex_unlock (&lock);
  if (fate)
    reply->close = 1;
}

/* Workers.  */

static struct rs_run *
run_at (const struct rs_worker *w, guint i)
{
  return &g_array_index (w->runs, struct rs_run, i);
}

static int64_t
clock_of (const struct rs_worker *w)
{
  return rs_now_ms () - w->started_ms;
}

static void
note_highest (struct rs_worker *w, const char *task, int64_t number)
{
  int64_t *n = g_hash_table_lookup (w->highest, task);

  if (!n)
    {
      n = g_new0 (int64_t, 1);
      g_hash_table_insert (w->highest, g_strdup (task), n);
    }
  *n = MAX (*n, number);
}

/* Whether A and B are members of one run of a gang.  */
static int
same_gang (const struct rs_run *a, const struct rs_run *b)
{
  size_t n = (size_t)(strrchr (a->task, '.') - a->task);

  return a->gang && a->number == b->number && !strncmp (a->task, b->task, n + 1);
}

static int
members_present (const struct rs_run *r)
{
  int n = 0;

  for (int k = 0; k < RS_MAX_WORKERS; k++)
    for (guint i = 0; worker[k].runs && i < worker[k].runs->len; i++)
      n += same_gang (r, run_at (&worker[k], i));
  return n;
}

static void end_run (struct rs_worker *w, guint i, const char *how);

/* The members of a gang at work end together.  */
static void
end_gang (const struct rs_run r, const char *how)
{
  for (int k = 0; k < RS_MAX_WORKERS; k++)
    for (guint i = 0; worker[k].runs && i < worker[k].runs->len; i++)
      if (same_gang (&r, run_at (&worker[k], i)))
        {
          run_at (&worker[k], i)->gang = 0;
          end_run (&worker[k], i, how);
          i = (guint)-1;
        }
}

static void
end_run (struct rs_worker *w, guint i, const char *how)
{
  struct rs_run r = *run_at (w, i);
  struct rs_end e = { .serial = ++w->last_end, .number = r.number, .how = how };

  memcpy (e.task, r.task, sizeof e.task);
  g_array_remove_index (w->runs, i);
  g_array_append_val (w->ends, e);
  note_highest (w, r.task, r.number);
  rs_note ("worker %s: run %s #%lld ends %s", w->id, r.task,
           (long long)r.number, how);
  if (r.gang && r.working_ms)
    end_gang (r, !strcmp (how, "done") ? "done" : "broken");
  pthread_cond_broadcast (&changed);
}

static void
heartbeat (struct rs_worker *w)
{
  char *value = g_strdup_printf (
      "{\"service\":\"core\",\"address\":\"%s\",\"zone\":\"z1\","
      "\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":%lld,\"born\":%lld,"
      "\"capacity\":{\"cpu\":128000,\"memory_request_mb\":262144,\"gpu\":%lld}"
      ",\"labels\":[\"a\",\"%s\"]}",
      w->server.address, (long long)++w->sequence, (long long)w->born,
      (long long)w->gpu, w->rack);

  w->heartbeat_ms = rs_now_ms ();
  put ("servers", w->id, value);
  g_free (value);
}

static void
tick_worker (struct rs_worker *w)
{
  int64_t now = rs_now_ms ();

  /* The store drops the entry of a silent worker.  */
  if ((!w->up || w->cut) && w->heartbeat_ms
      && now - w->heartbeat_ms > 3 * RS_HEARTBEAT_MS)
    {
      w->heartbeat_ms = 0;
      put ("servers", w->id, NULL);
    }
  if (!w->up)
    return;
  if (!w->cut && now - w->heartbeat_ms >= RS_HEARTBEAT_MS)
    heartbeat (w);
  if (clock_of (w) >= w->lease_ms)
    while (w->runs->len)
      end_run (w, 0, "lapsed");
  for (guint i = 0; i < w->runs->len;)
    {
      struct rs_run *r = run_at (w, i);

      if (r->stop_ms && now >= r->stop_ms)
        end_run (w, i, "stopped");
      else if (r->gang && !r->working_ms && now - r->began_ms >= RS_GANG_MS)
        end_run (w, i, "alone");
      else if (r->work_ms && r->working_ms
               && now - r->working_ms >= r->work_ms)
        end_run (w, i, "done");
      else
        {
          if (!r->working_ms && members_present (r) >= r->gang)
            r->working_ms = now;
          i++;
          continue;
        }
      i = 0; /* others may have ended with it */
    }
}

static void
tick_late (void)
{
  for (guint i = late->len; i-- > 0;)
    {
      struct late_order o = g_array_index (late, struct late_order, i);
      const char *reason;

      if (rs_now_ms () < o.due_ms)
        continue;
      g_array_remove_index (late, i);
      if (o.worker->up && o.worker->born == o.born)
        {
          reason = execute (o.worker, o.path, o.body);
          rs_note ("worker %s: late %s of %s %s", o.worker->id, o.path,
                   text_of (o.body, "task"), reason ? reason : "carried out");
        }
      g_free (o.path);
      json_decref (o.body);
    }
}

static void *
tick (void *arg)
{
  (void)arg;
  while (!ending)
    {
      pthread_mutex_lock (&lock);
      for (int n = 0; n < RS_MAX_WORKERS; n++)
        if (worker[n].runs)
          tick_worker (&worker[n]);
      tick_late ();
      pthread_mutex_unlock (&lock);
      rs_sleep (10);
    }
  return NULL;
}

static int
find_run (const struct rs_worker *w, const char *task, int64_t number)
{
  for (guint i = 0; i < w->runs->len; i++)
    if (!strcmp (run_at (w, i)->task, task)
        && run_at (w, i)->number == number)
      return (int)i;
  return -1;
}

static void
extend (struct rs_worker *w, int64_t until)
{
  int64_t most = clock_of (w) + RS_HOLD_MAX_MS;

  w->lease_ms = MAX (w->lease_ms, MIN (until, most));
}

static const char *
start (struct rs_worker *w, const json_t *o)
{
  struct rs_run r = { .began_ms = rs_now_ms () };
  int64_t until = json_integer_value (json_object_get (o, "deadline_ms"));
  const char *work;
  int64_t *past;

  g_strlcpy (r.task, text_of (o, "task"), sizeof r.task);
  g_strlcpy (r.spec, text_of (o, "specification"), sizeof r.spec);
  r.number = json_integer_value (json_object_get (o, "run"));
  if (until <= clock_of (w))
    return "late";
  past = g_hash_table_lookup (w->highest, r.task);
  extend (w, until);
  if (past && *past >= r.number)
    return "old";
  if (find_run (w, r.task, r.number) >= 0)
    return NULL;
  work = strstr (r.spec, "work_ms=");
  r.work_ms = work ? atoi (work + 8) : 0;
  work = strstr (r.spec, "gang=");
  r.gang = work ? atoi (work + 5) : 0;
  g_array_append_val (w->runs, r);
  g_hash_table_insert (started, g_strdup (r.task),
                       GINT_TO_POINTER (1
                                        + GPOINTER_TO_INT (g_hash_table_lookup (
                                            started, r.task))));
  rs_note ("worker %s: run %s #%lld begins, token %lld, specification '%s'",
           w->id, r.task, (long long)r.number, (long long)w->token, r.spec);
  return NULL;
}

static void
stop (struct rs_worker *w, const json_t *o)
{
  const char *task = text_of (o, "task");
  int64_t number = json_integer_value (json_object_get (o, "run"));
  int i = find_run (w, task, number);

  if (i < 0)
    note_highest (w, task, number);
  else if (!run_at (w, (guint)i)->stop_ms)
    run_at (w, (guint)i)->stop_ms = rs_now_ms () + RS_STOP_MS;
  rs_note ("worker %s: stop of %s #%lld", w->id, task, (long long)number);
}

static void
hold (struct rs_worker *w, const json_t *o)
{
  int64_t seen = json_integer_value (json_object_get (o, "last_seen"));
  int64_t wait_ms = json_integer_value (json_object_get (o, "wait_ms"));
  int64_t until = rs_now_ms () + wait_ms, born = w->born;

  if (json_object_get (o, "deadline_ms"))
    extend (w, json_integer_value (json_object_get (o, "deadline_ms")));
  while (w->ends->len
         && g_array_index (w->ends, struct rs_end, 0).serial <= seen)
    {
      g_hash_table_add (taken, g_strdup (g_array_index (w->ends,
                                                        struct rs_end, 0)
                                             .task));
      g_array_remove_index (w->ends, 0);
    }
  while (w->up && w->born == born && !w->cut && !w->ends->len
         && rs_now_ms () < until && !ending)
    wait_a_little ();
}

static json_t *
list_runs (const struct rs_worker *w)
{
  json_t *list = json_array ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct rs_run *r = run_at (w, i);
      int64_t percent
          = r->work_ms ? (rs_now_ms () - r->began_ms) * 100 / r->work_ms : 100;

      json_array_append_new (list, json_pack ("[s,I,s,I,i]", r->task,
                                              (json_int_t)r->number, "",
                                              (json_int_t)percent, 1));
    }
  return list;
}

static json_t *
list_ends (const struct rs_worker *w)
{
  json_t *list = json_array ();

  for (guint i = 0; i < w->ends->len && i < 500; i++)
    {
      const struct rs_end *e = &g_array_index (w->ends, struct rs_end, i);

      json_array_append_new (list, json_pack ("[I,s,I,s,s]",
                                              (json_int_t)e->serial, e->task,
                                              (json_int_t)e->number, e->how,
                                              ""));
    }
  return list;
}

/* Carries an order out.  Returns the reason of its refusal, or NULL.  */
static const char *
execute (struct rs_worker *w, const char *path, const json_t *o)
{
  int64_t token = json_integer_value (json_object_get (o, "fencing_token"));

  if (token < w->token)
    return "fence";
  w->token = token;
  if (!strcmp (path, "/v1/hold"))
    hold (w, o);
  else if (!strcmp (path, "/v1/run-stop"))
    stop (w, o);
  else
    return start (w, o);
  return NULL;
}

/* Returns after how many ms the order, which gets no answer, is carried out,
   or 0 if it is answered.  */
static int
is_late (struct rs_worker *w, const char *path, json_t *o)
{
  struct late_order l = { w, w->born, 0, NULL, NULL };
  int delay_ms;

  if (!strcmp (path, "/v1/hold"))
    return 0;
  orders++;
  delay_ms = order_fate ? order_fate (w->index, path, text_of (o, "task")) : 0;
  if (!delay_ms)
    return 0;
  late_orders++;
  rs_note ("worker %s: %s of %s gets no answer", w->id, path,
           text_of (o, "task"));
  l.due_ms = rs_now_ms () + delay_ms;
  l.path = g_strdup (path);
  l.body = json_incref (o);
  g_array_append_val (late, l);
  return delay_ms;
}

static void
serve_worker (void *arg, const struct sv_request *q, struct sv_reply *reply)
{
  struct rs_worker *w = arg;
  const char *expected
      = sv_header (q, "X-Skylarkramp-Expected-Instance");
  json_t *o = json_loads (q->body, 0, NULL);
  int64_t born;
  int unanswered_ms = 0, is_hold = !strcmp (q->path, "/v1/hold");
  const char *reason = NULL;

  reply->status = 200;
  pthread_mutex_lock (&lock);
  born = w->born;
  if (!w->up || w->cut)
    reply->close = 1;
  else if (expected && strcmp (expected, w->id) != 0)
    reply->status = 421;
  else if ((unanswered_ms = is_late (w, q->path, o)))
    reply->close = 1;
  else
    reason = execute (w, q->path, o);
  /* While it is cut off nothing comes back.  */
  if (!w->up || w->cut || w->born != born)
    reply->close = 1;
  if (reason)
    reply->status = 409;
  reply->json = json_pack ("{s:I,s:I}", "clock_ms", (json_int_t)clock_of (w),
                           "born", (json_int_t)w->born);
  if (reason)
    json_object_set_new (reply->json, "reason", json_string (reason));
  else if (is_hold && reply->status == 200)
    {
      json_object_set_new (reply->json, "running", list_runs (w));
      json_object_set_new (reply->json, "ended", list_ends (w));
    }
  pthread_mutex_unlock (&lock);
  json_decref (o);
  /* The connection stays silent.  */
  rs_sleep (unanswered_ms);
}

void
rs_worker_start (int n, const char *rack, int64_t gpu)
{
  struct rs_worker *w = &worker[n];
  struct timespec t;

  if (!*w->server.address
      && sv_init (&w->server, "127.0.0.1:0", serve_worker, NULL, w))
    exit (2);
  pthread_mutex_lock (&lock);
  if (!w->runs)
    {
      w->runs = g_array_new (FALSE, TRUE, sizeof (struct rs_run));
      w->ends = g_array_new (FALSE, TRUE, sizeof (struct rs_end));
      w->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  clock_gettime (CLOCK_REALTIME, &t);
  w->index = n;
  w->born = MAX (w->born + 1, t.tv_sec * 1000 + t.tv_nsec / 1000000);
  w->started_ms = rs_now_ms ();
  w->token = w->lease_ms = w->last_end = w->sequence = 0;
  w->gpu = gpu;
  snprintf (w->id, sizeof w->id, "i-%d", n);
  g_strlcpy (w->rack, rack, sizeof w->rack);
  w->up = 1;
  w->cut = 0;
  heartbeat (w);
  rs_note ("worker %s starts", w->id);
  pthread_mutex_unlock (&lock);
}

void
rs_worker_crash (int n)
{
  struct rs_worker *w = &worker[n];

  pthread_mutex_lock (&lock);
  for (guint i = 0; i < w->runs->len; i++)
    rs_note ("worker %s: run %s #%lld is gone with it", w->id,
             run_at (w, i)->task, (long long)run_at (w, i)->number);
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ends, 0);
  g_hash_table_remove_all (w->highest);
  w->up = 0;
  rs_note ("worker %s crashes", w->id);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

void
rs_worker_cut (int n, int cut)
{
  pthread_mutex_lock (&lock);
  worker[n].cut = cut;
  rs_note ("worker %s is %s", worker[n].id, cut ? "cut off" : "back");
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

void
rs_orders_set_fate (rs_order_fate *fate)
{
  pthread_mutex_lock (&lock);
  order_fate = fate;
  pthread_mutex_unlock (&lock);
}

void
rs_count_orders (int *all, int *unanswered)
{
  pthread_mutex_lock (&lock);
  *all = orders;
  *unanswered = late_orders;
  pthread_mutex_unlock (&lock);
}

int
rs_end_was_taken (const char *task)
{
  GHashTableIter iter;
  gpointer key;
  int found = 0;

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, taken);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    found |= g_str_has_prefix (key, task);
  pthread_mutex_unlock (&lock);
  return found;
}

int
rs_where (const char *task)
{
  int found = -1;

  pthread_mutex_lock (&lock);
  for (int n = 0; n < RS_MAX_WORKERS; n++)
    for (guint i = 0; worker[n].runs && i < worker[n].runs->len; i++)
      if (g_str_has_prefix (run_at (&worker[n], i)->task, task))
        found = n;
  pthread_mutex_unlock (&lock);
  return found;
}

int
rs_starts (const char *task)
{
  GHashTableIter iter;
  gpointer key, value;
  int n = 0;

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, started);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, task))
      n += GPOINTER_TO_INT (value);
  pthread_mutex_unlock (&lock);
  return n;
}

/* Client.  */

struct buffer
{
  char *text;
  size_t size;
};

static size_t
take (char *data, size_t size, size_t count, void *arg)
{
  struct buffer *b = arg;

  for (size_t i = 0; i < size * count && b->size < 399; i++)
    b->text[b->size++] = data[i];
  b->text[b->size] = '\0';
  return size * count;
}

int
rs_call (const char *address, const char *method, const char *path,
         const char *key, const char *request, char body[400])
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = NULL;
  char url[300], line[200];
  struct buffer b = { body, 0 };
  long status = 0;

  *body = '\0';
  snprintf (url, sizeof url, "http://%s%s", address, path);
  snprintf (line, sizeof line, "Authorization: Bearer %s", key);
  headers = curl_slist_append (headers, line);
  headers = curl_slist_append (headers, "Host: desk.example");
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers,
                               "X-Skylarkramp-Deadline-Remaining: 3000");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 3000L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &b);
  if (request)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  rs_note ("client: %s %s at %s -> %ld %s", method, path, address, status,
           body);
  return (int)status;
}

void
rs_configure (int number, int priority, int max_attempts,
              const char *keys_json)
{
  char *value = g_strdup_printf (
      "{\"version\":%d,\"routes\":[{\"name\":\"desk\",\"host\":"
      "\"desk.example\",\"prefix\":\"/desk/\",\"service\":\"core\","
      "\"priority\":%d,\"max_attempts\":%d,\"stretch\":3,"
      "\"target_duration_ms\":3000},{\"name\":\"urgent\",\"host\":"
      "\"desk.example\",\"prefix\":\"/urgent/\",\"service\":\"core\","
      "\"priority\":0,\"max_attempts\":3,\"stretch\":3,"
      "\"target_duration_ms\":3000}],\"services\":[{\"name\":\"core\","
      "\"rejects_overload\":false}],\"limits\":{},\"tenants\":[{\"name\":"
      "\"t1\",\"api_keys\":%s,\"guaranteed\":{\"gpu\":4}}]}",
      number, priority, max_attempts, keys_json);

  rs_store_put ("op", "config", value);
  rs_note ("operator: configuration %d, keys %s", number, keys_json);
  g_free (value);
}


void
rs_begin (struct rs_case *c, int argc, char **argv)
{
  if (argc != 5)
    exit (2);
  *c = (struct rs_case){ .dir = argv[1],
                         .trouble = strcmp (argv[3], "0") != 0,
                         .vms = atoi (argv[4]) };
  record = fopen (argv[2], "w");
  if (!record || sodium_init () < 0 || curl_global_init (CURL_GLOBAL_ALL))
    exit (2);
  zero_ms = rs_now_ms ();
  rows = g_tree_new_full (compare, NULL, g_free, NULL);
  history = g_ptr_array_new ();
  started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  taken = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  late = g_array_new (FALSE, TRUE, sizeof (struct late_order));
  if (sv_init (&store, "127.0.0.1:0", serve_store, NULL, NULL)
      || pthread_create (&ticker, NULL, tick, NULL))
    exit (2);
}

static int
free_port (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (bind (fd, (struct sockaddr *)&a, sizeof a)
      || getsockname (fd, (struct sockaddr *)&a, &size))
    exit (2);
  /* It stays bound until all ports are found, so that they differ.  */
  return fd;
}

static void
write_ports (const struct rs_case *c)
{
  char part[300], whole[300];
  int fd[16], n = c->vms * 4;
  FILE *f;

  snprintf (part, sizeof part, "%s/ports.part", c->dir);
  snprintf (whole, sizeof whole, "%s/ports", c->dir);
  f = fopen (part, "w");
  fprintf (f, "%s", store.address);
  for (int i = 0; i < n; i++)
    {
      struct sockaddr_in a;
      socklen_t size = sizeof a;

      fd[i] = free_port ();
      getsockname (fd[i], (struct sockaddr *)&a, &size);
      fprintf (f, " %d", ntohs (a.sin_port));
    }
  fprintf (f, "\n");
  fclose (f);
  for (int i = 0; i < n; i++)
    close (fd[i]);
  rename (part, whole);
}

static int
is_ready (const struct rs_vm *vm)
{
  CURL *easy = curl_easy_init ();
  char url[200];
  long status = 0;

  snprintf (url, sizeof url, "http://%s/v1/readiness", vm->ready);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 1000L);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  return status == 200;
}

void
rs_wait_for_vms (struct rs_case *c)
{
  char path[300];
  int ready = 0, n = 0;
  FILE *f = NULL;

  write_ports (c);
  snprintf (path, sizeof path, "%s/vms", c->dir);
  for (int i = 0; i < 100 && !f; i++)
    {
      rs_sleep (100);
      f = fopen (path, "r");
    }
  while (f && n < c->vms
         && fscanf (f, "%63s %63s %d", c->vm[n].address, c->vm[n].ready,
                    &c->vm[n].pid)
                == 3)
    n++;
  if (f)
    fclose (f);
  for (int i = 0; i < 100 && n == c->vms && ready < n; i++)
    {
      rs_sleep (200);
      for (ready = 0; ready < n && is_ready (&c->vm[ready]);)
        ready++;
    }
  if (n < c->vms || ready < n)
    exit (2);
  rs_note ("%d VMs are ready", n);
}

int
rs_holder (const struct rs_case *c)
{
  char *value = rs_store_get ("jobs", "~lease");
  json_t *o = value ? json_loads (value, 0, NULL) : NULL;
  const char *name = text_of (o, "vm");
  int n = !strncmp (name, "vm", 2) ? atoi (name + 2) - 1 : -1;

  json_decref (o);
  g_free (value);
  return n < c->vms ? n : -1;
}

int
rs_vm_pid (struct rs_case *c, int vm)
{
  char path[300], a[64], b[64];
  FILE *f;

  snprintf (path, sizeof path, "%s/vm%d.line", c->dir, vm + 1);
  f = fopen (path, "r");
  if (!f || fscanf (f, "%63s %63s %d", a, b, &c->vm[vm].pid) != 3)
    exit (2);
  fclose (f);
  return c->vm[vm].pid;
}

void
rs_vm_kill (struct rs_case *c, int vm)
{
  rs_note ("VM %d is killed", vm + 1);
  kill (rs_vm_pid (c, vm), SIGKILL);
}

void
rs_vm_terminate (struct rs_case *c, int vm)
{
  rs_note ("VM %d gets SIGTERM", vm + 1);
  kill (rs_vm_pid (c, vm), SIGTERM);
}

int
rs_vm_crashes (const struct rs_case *c, int vm)
{
  char path[300];
  int n = 0, ch;
  FILE *f;

  snprintf (path, sizeof path, "%s/vm%d.crashes", c->dir, vm + 1);
  f = fopen (path, "r");
  while (f && (ch = fgetc (f)) != EOF)
    n += ch == '\n';
  if (f)
    fclose (f);
  return n;
}

int
rs_end (int broken, const char *verdict)
{
  rs_note ("%s: %s", broken ? "BROKEN" : "held", verdict);
  printf ("%s: %s\n", broken ? "broken" : "held", verdict);
  ending = 1;
  pthread_join (ticker, NULL);
  fclose (record);
  return broken;
}
