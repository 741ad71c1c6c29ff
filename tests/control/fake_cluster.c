#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_cluster.h"

enum
{
  LATENCY_MS = 10,
  TIMEOUT_MS = 300,
  POLL_CELLS_MS = 100,
  POLL_VMS_MS = 500,
  LONG_LEASE_MS = 1 << 30
};

struct row
{
  json_t *value;
  int64_t version;
};

/* A request in flight, and later its answer.  */
struct request
{
  int vm, generation, answered;
  int64_t due_ms;
  enum cl_effect_kind kind;
  struct cl_ticket ticket;
  char path[128];
  json_t *body, *checks, *ops;
  int64_t serial, since;
  int limit;
  char after[CT_NAME];
  enum hc_outcome end;
  long status;
  int error;
  json_t *data;
  struct cl_cell *cell;
};

static void
free_row (void *arg)
{
  struct row *row = arg;

  json_decref (row->value);
  g_free (row);
}

static void
free_request (void *arg)
{
  struct request *r = arg;

  json_decref (r->body);
  json_decref (r->checks);
  json_decref (r->ops);
  json_decref (r->data);
  g_free (r);
}

static struct row *
find_row (struct fw_cluster *w, const char *table, const char *key)
{
  char *name = g_strdup_printf ("%s/%s", table, key);
  struct row *row = g_hash_table_lookup (w->rows, name);

  g_free (name);
  return row;
}

json_t *
fw_row (struct fw_cluster *w, const char *table, const char *key)
{
  struct row *row = find_row (w, table, key);

  return row ? row->value : NULL;
}

static void
put_row (struct fw_cluster *w, const char *table, const char *key,
         json_t *value)
{
  struct row *row = g_new0 (struct row, 1);

  row->value = json_deep_copy (value);
  row->version = w->rev;
  g_hash_table_replace (w->rows, g_strdup_printf ("%s/%s", table, key), row);
  w->rows_written++;
}

static void
delete_row (struct fw_cluster *w, const char *table, const char *key)
{
  char *name = g_strdup_printf ("%s/%s", table, key);

  g_hash_table_remove (w->rows, name);
  g_free (name);
  w->rows_written++;
}

void
fw_write (struct fw_cluster *w, const char *table, const char *key,
          json_t *value)
{
  w->rev++;
  put_row (w, table, key, value);
  json_decref (value);
}

static const char *
string_field (const json_t *o, const char *name)
{
  const char *s = json_string_value (json_object_get (o, name));

  return s ? s : "";
}

static void
commit (struct fw_cluster *w, struct request *r)
{
  json_t *conflicts = json_array (), *o;
  size_t i;

  json_array_foreach (r->checks, i, o)
  {
    struct row *row
        = find_row (w, string_field (o, "table"), string_field (o, "key"));
    int64_t version = row ? row->version : 0;

    if (version == json_integer_value (json_object_get (o, "version")))
      continue;
    json_array_append_new (
        conflicts,
        json_pack ("{s:s, s:s, s:I, s:o}", "table", string_field (o, "table"),
                   "key", string_field (o, "key"), "version",
                   (json_int_t)version, "value",
                   row ? json_deep_copy (row->value) : json_null ()));
  }
  if (json_array_size (conflicts))
    {
      r->error = TB_ECONFLICT;
      r->data = json_pack ("{s:o}", "conflicts", conflicts);
      return;
    }
  json_decref (conflicts);
  w->rev++;
  json_array_foreach (r->ops, i, o)
  {
    if (strcmp (string_field (o, "op"), "delete") == 0)
      delete_row (w, string_field (o, "table"), string_field (o, "key"));
    else
      put_row (w, string_field (o, "table"), string_field (o, "key"),
               json_object_get (o, "value"));
  }
  r->data = json_pack ("{s:I}", "rev", (json_int_t)w->rev);
}

static int
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Returns up to LIMIT rows whose names start with PREFIX, whose keys follow
   AFTER and whose versions are higher than SINCE.  */
static json_t *
list_rows (struct fw_cluster *w, const char *prefix, const char *after,
           int64_t since, int limit)
{
  GPtrArray *names = g_ptr_array_new ();
  json_t *rows = json_array ();
  GHashTableIter it;
  gpointer name;

  g_hash_table_iter_init (&it, w->rows);
  while (g_hash_table_iter_next (&it, &name, NULL))
    if (g_str_has_prefix (name, prefix))
      g_ptr_array_add (names, name);
  g_ptr_array_sort (names, by_name);
  for (guint i = 0; i < names->len; i++)
    {
      const char *full = g_ptr_array_index (names, i);
      struct row *row = g_hash_table_lookup (w->rows, full);
      const char *key = full + strlen (prefix);

      if (row->version > since && strcmp (key, after) > 0
          && (int)json_array_size (rows) < limit)
        json_array_append_new (
            rows, json_pack ("{s:s, s:I, s:o}", "key", key, "version",
                             (json_int_t)row->version, "value",
                             json_deep_copy (row->value)));
    }
  g_ptr_array_free (names, TRUE);
  return rows;
}

static void
scan (struct fw_cluster *w, struct request *r)
{
  int limit = r->limit ? r->limit : INT_MAX;
  json_t *rows = list_rows (w, "jobs.d1/", r->after, r->since, limit);

  r->data = json_pack ("{s:I, s:O, s:b}", "rev", (json_int_t)w->rev, "rows",
                       rows, "more", (int)json_array_size (rows) == limit);
  json_decref (rows);
}

static void
read_cell (struct fw_cluster *w, struct request *r)
{
  struct row *row = find_row (w, CL_TABLE, "d1");

  if (!row)
    r->error = TB_ENOENT;
  else
    r->data = json_pack ("{s:I, s:o}", "version", (json_int_t)row->version,
                         "value", json_deep_copy (row->value));
}

static void
serve_table (struct fw_cluster *w, struct request *r)
{
  int is_write = r->kind == CL_COMMIT;
  int lose = w->table == FW_TABLE_LOSSY && gsl_rng_uniform (w->rng) < 1. / 3;
  int apply = !lose || gsl_rng_uniform (w->rng) < 0.5;

  if (w->table == FW_TABLE_DOWN || w->table == FW_TABLE_SILENT)
    {
      r->error
          = is_write && w->table == FW_TABLE_SILENT ? TB_EUNKNOWN : TB_EDOWN;
      return;
    }
  if (is_write && apply)
    commit (w, r);
  else if (r->kind == CL_SCAN || r->kind == CL_SWEEP)
    scan (w, r);
  else if (r->kind == CL_READ)
    read_cell (w, r);
  if (lose)
    {
      r->error = is_write ? TB_EUNKNOWN : TB_EDOWN;
      json_decref (r->data);
      r->data = NULL;
    }
}

static struct fw_gang *
find_gang (struct fw_worker *x, const char *job, int attempt)
{
  for (guint i = 0; i < x->gangs->len; i++)
    {
      struct fw_gang *g = &g_array_index (x->gangs, struct fw_gang, i);

      if (!strcmp (g->job, job) && g->attempt == attempt)
        return g;
    }
  return NULL;
}

static void
clear_gang (void *arg)
{
  json_decref (((struct fw_gang *)arg)->tasks_ordered);
}

static void
remove_gang (struct fw_worker *x, struct fw_gang *g)
{
  guint index = (guint)(g - (struct fw_gang *)(void *)x->gangs->data);

  g_array_remove_index (x->gangs, index);
}

static void
hold (struct fw_cluster *w, struct fw_worker *x, struct request *r)
{
  const char *job = string_field (r->body, "job");
  int attempt = (int)json_integer_value (json_object_get (r->body, "attempt"));
  struct fw_gang *g = find_gang (x, job, attempt), fresh = { .attempt = 0 };

  if (!g && (x->mode == FW_WORKER_BUSY || x->leaving))
    {
      r->status = x->leaving ? 503 : 429;
      return;
    }
  if (!g)
    {
      fresh.attempt = attempt;
      snprintf (fresh.job, CT_NAME, "%s", job);
      fresh.state = WK_HELD;
      fresh.remaining_ms
          = w->run_ms
            - json_integer_value (json_object_get (r->body, "progress_ms"));
      fresh.lease_until
          = w->now_ms
            + json_integer_value (json_object_get (r->body, "lease_ms"));
      fresh.tasks_ordered = json_incref (json_object_get (r->body, "tasks"));
      fresh.fails = json_is_true (
          json_object_get (json_object_get (r->body, "payload"), "fails"));
      g_array_append_val (x->gangs, fresh);
      g = find_gang (x, job, attempt);
    }
  r->data
      = json_pack ("{s:s}", "state", g->state == WK_HELD ? "held" : "running");
}

static void
note_start (struct fw_cluster *w, struct fw_worker *x, struct fw_gang *g)
{
  json_t *row = fw_row (w, "jobs.d1", g->job), *o;
  size_t i;

  json_array_foreach (g->tasks_ordered, i, o)
  {
    struct fw_task_start s = { .attempt = g->attempt, .at_ms = w->now_ms };

    snprintf (s.job, CT_NAME, "%s", g->job);
    s.worker = (int)(x - w->worker);
    s.task = (int)json_integer_value (json_object_get (o, "task"));
    s.row_was_running
        = row && !strcmp (string_field (row, "state"), "running")
          && json_integer_value (json_object_get (row, "attempt"))
                 == g->attempt;
    g_array_append_val (w->starts, s);
  }
}

static const char *
state_name (const struct fw_gang *g)
{
  static const char *const names[]
      = { "new",    "held",         "running", "done",
          "failed", "checkpointed", "stopped", "gone" };

  return names[g->state];
}

static void
apply_order (struct fw_cluster *w, struct fw_worker *x, struct request *r,
             const json_t *named)
{
  const char *job = string_field (named, "job");
  int attempt = (int)json_integer_value (json_object_get (named, "attempt"));
  struct fw_gang *g = find_gang (x, job, attempt);

  if (!g)
    {
      if (strstr (r->path, "/run") || strstr (r->path, "/ack"))
        r->data = json_pack ("{s:[{s:s}]}", "jobs", "state", "absent");
      else
        r->status = 404;
      return;
    }
  if (strstr (r->path, "/run") && g->state == WK_HELD)
    {
      g->state = WK_RUNNING;
      note_start (w, x, g);
    }
  if (strstr (r->path, "/stop") && g->state < WK_DONE)
    g->state = WK_STOPPED;
  if (strstr (r->path, "/checkpoint") && g->state < WK_DONE)
    g->checkpointing = 1;
  if (strstr (r->path, "/run") || strstr (r->path, "/ack"))
    r->data = json_pack ("{s:[{s:s}]}", "jobs", "state", state_name (g));
  else
    r->data = json_pack ("{s:s}", "state", state_name (g));
  if (strstr (r->path, "/ack"))
    remove_gang (x, g);
}

static void
renew (struct fw_cluster *w, struct fw_worker *x, struct request *r)
{
  int64_t ms = json_integer_value (json_object_get (r->body, "lease_ms"));

  for (guint i = 0; i < x->gangs->len; i++)
    g_array_index (x->gangs, struct fw_gang, i).lease_until = w->now_ms + ms;
  r->data = json_object ();
}

static void
list_tasks (struct fw_cluster *w, struct fw_worker *x, struct request *r)
{
  json_t *list = json_array (), *o;
  size_t n;

  for (guint i = 0; i < x->gangs->len; i++)
    {
      struct fw_gang *g = &g_array_index (x->gangs, struct fw_gang, i);

      json_array_foreach (g->tasks_ordered, n, o)
      {
        json_array_append_new (
            list, json_pack ("{s:s, s:i, s:O, s:O, s:s, s:I, s:s}", "job",
                             g->job, "attempt", g->attempt, "task",
                             json_object_get (o, "task"), "accelerators",
                             json_object_get (o, "accelerators"), "state",
                             state_name (g), "progress_ms",
                             (json_int_t)(w->run_ms - g->remaining_ms),
                             "result", "ok"));
      }
    }
  r->data
      = json_pack ("{s:s, s:I, s:b, s:o}", "id", x->id, "epoch",
                   (json_int_t)x->epoch, "leaving", x->leaving, "tasks", list);
}

static void
serve_worker (struct fw_cluster *w, struct request *r)
{
  struct fw_worker *x = &w->worker[r->ticket.worker];
  int64_t epoch = json_integer_value (json_object_get (r->body, "epoch"));

  if (x->mode == FW_WORKER_SILENT || x->mode == FW_WORKER_DEAD)
    {
      r->end = x->mode == FW_WORKER_DEAD ? HC_NOT_SENT : HC_LOST;
      r->due_ms += TIMEOUT_MS;
      return;
    }
  r->end = HC_ANSWERED;
  r->status = 200;
  if (r->body && epoch < x->epoch)
    {
      r->status = 409;
      r->data = json_pack ("{s:s, s:I}", "error", "epoch", "epoch",
                           (json_int_t)x->epoch);
      return;
    }
  if (r->body)
    x->epoch = epoch;
  if (!r->body)
    list_tasks (w, x, r);
  else if (!strcmp (r->path, "/v1/leases"))
    renew (w, x, r);
  else if (!strcmp (r->path, "/v1/tasks"))
    hold (w, x, r);
  else
    apply_order (w, x, r,
                 json_object_get (r->body, "jobs")
                     ? json_array_get (json_object_get (r->body, "jobs"), 0)
                     : r->body);
}

static void
emit (void *arg, const struct cl_effect *e)
{
  struct fw_cluster *w = arg;
  struct request *r;

  if (e->kind == CL_JOB_CHANGED)
    return;
  r = g_new0 (struct request, 1);
  r->kind = e->kind;
  r->cell = e->cell;
  r->serial = e->serial;
  r->due_ms = w->now_ms + LATENCY_MS;
  for (int i = 0; i < FW_VMS; i++)
    if (&w->vm[i].cell == e->cell)
      r->vm = i;
  r->generation = w->vm[r->vm].generation;
  if (e->kind == CL_ORDER)
    {
      r->ticket = e->u.order.ticket;
      snprintf (r->path, sizeof r->path, "%s", e->u.order.path);
      r->body = json_deep_copy (e->u.order.body);
    }
  if (e->kind == CL_COMMIT)
    {
      r->checks = json_deep_copy (e->u.commit->checks);
      r->ops = json_deep_copy (e->u.commit->ops);
    }
  if (e->kind == CL_SCAN || e->kind == CL_SWEEP)
    {
      r->limit = e->u.scan.limit;
      r->since = e->u.scan.since;
      snprintf (r->after, CT_NAME, "%s",
                e->u.scan.after ? e->u.scan.after : "");
    }
  g_queue_push_tail (&w->pending, r);
}

static void
answer (struct fw_cluster *w, struct request *r)
{
  switch (r->kind)
    {
    case CL_ORDER:
      cl_order_done (r->cell, w->now_ms, &r->ticket, r->end, r->status,
                     r->data);
      break;
    case CL_COMMIT:
      cl_commit_done (r->cell, w->now_ms, r->serial, r->error, r->data);
      break;
    case CL_READ:
      cl_read_done (r->cell, w->now_ms, r->serial, r->error, r->data);
      break;
    case CL_SCAN:
      cl_scan_done (r->cell, w->now_ms, r->serial, r->error, r->data);
      break;
    case CL_SWEEP:
      cl_sweep_done (r->cell, w->now_ms, r->serial, r->error, r->data);
      break;
    case CL_JOB_CHANGED:
      break;
    }
  free_request (r);
}

/* Serves the requests that have arrived and delivers the answers that are
   due.  */
static void
deliver_requests (struct fw_cluster *w)
{
  for (guint n = g_queue_get_length (&w->pending); n > 0; n--)
    {
      struct request *r = g_queue_pop_head (&w->pending);

      if (r->due_ms > w->now_ms)
        g_queue_push_tail (&w->pending, r);
      else if (!r->answered)
        {
          r->due_ms += LATENCY_MS;
          r->answered = 1;
          if (r->kind == CL_ORDER)
            serve_worker (w, r);
          else
            serve_table (w, r);
          g_queue_push_tail (&w->pending, r);
        }
      else if (!w->vm[r->vm].alive || w->vm[r->vm].generation != r->generation)
        free_request (r);
      else if (w->vm[r->vm].paused)
        g_queue_push_tail (&w->vm[r->vm].inbox, r);
      else
        answer (w, r);
    }
}

static void
note_checkpoint (struct fw_cluster *w, const struct fw_worker *x,
                 const struct fw_gang *g)
{
  struct fw_task_start s = { .attempt = g->attempt, .at_ms = w->now_ms };

  snprintf (s.job, CT_NAME, "%s", g->job);
  s.worker = (int)(x - w->worker);
  g_array_append_val (w->checkpoints, s);
}

static void
run_tasks (struct fw_cluster *w, struct fw_worker *x)
{
  if (x->mode == FW_WORKER_DEAD)
    g_array_set_size (x->gangs, 0);
  for (guint i = 0; i < x->gangs->len; i++)
    {
      struct fw_gang *g = &g_array_index (x->gangs, struct fw_gang, i);

      if (g->state >= WK_DONE)
        continue;
      if (w->now_ms >= g->lease_until)
        g->state = w->checkpoint_on_expiry && g->state == WK_RUNNING
                       ? WK_CHECKPOINTED
                       : WK_STOPPED;
      else if (g->checkpointing)
        g->state = WK_CHECKPOINTED;
      if (g->state == WK_CHECKPOINTED)
        note_checkpoint (w, x, g);
      else if (g->state == WK_RUNNING && (g->remaining_ms -= FW_STEP_MS) <= 0)
        g->state = g->fails ? WK_FAILED : WK_DONE;
    }
}

static json_t *
list_vms (struct fw_cluster *w)
{
  json_t *vms = json_array ();

  for (int i = 0; i < w->workers; i++)
    json_array_append_new (
        vms, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i}", "id",
                        w->worker[i].id, "role", "worker", "address",
                        "127.0.0.1:1", "rack", "r1", "domain", "d1",
                        "accelerators", 8, "slots", 8, "connections", 60));
  return vms;
}

static void
poll_platform (struct fw_cluster *w, struct fw_vm *vm)
{
  struct cl_cell *c = &vm->cell;
  int up = w->table == FW_TABLE_OK || w->table == FW_TABLE_LOSSY;
  struct row *row = find_row (w, CL_TABLE, "d1");
  json_t *vms, *rows;

  if (w->now_ms % POLL_CELLS_MS == 0)
    {
      if (up)
        {
          rows = list_rows (w, CL_TABLE "/", "", 0, INT_MAX);
          cl_set_cell_rows (c, rows);
          json_decref (rows);
          cl_observe_row (c, w->now_ms, row ? row->value : NULL,
                          row ? row->version : 0);
        }
      else
        cl_row_read_failed (c);
    }
  if (w->now_ms % POLL_VMS_MS == 0 && up && w->now_ms >= vm->vm_list_from_ms)
    {
      vms = list_vms (w);
      cl_update_workers (c, w->now_ms, vms);
      json_decref (vms);
    }
}

static void
step_vm (struct fw_cluster *w, int i)
{
  struct fw_vm *vm = &w->vm[i];
  struct request *r;

  if (!vm->alive || vm->paused)
    return;
  /* A process that resumes after a pause may act before it reads its
     answers.  */
  cl_tick (&vm->cell, w->now_ms, vm->take_delay_ms);
  while ((r = g_queue_pop_head (&vm->inbox)))
    answer (w, r);
  poll_platform (w, vm);
}

void
fw_run (struct fw_cluster *w, int64_t ms)
{
  for (int64_t end = w->now_ms + ms; w->now_ms < end;)
    {
      w->now_ms += FW_STEP_MS;
      for (int i = 0; i < w->workers; i++)
        run_tasks (w, &w->worker[i]);
      deliver_requests (w);
      for (int i = 0; i < FW_VMS; i++)
        step_vm (w, i);
    }
}

void
fw_init (struct fw_cluster *w, int workers, unsigned long seed)
{
  memset (w, 0, sizeof *w);
  w->now_ms = 1000;
  w->workers = workers;
  w->run_ms = 1000;
  w->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  w->starts = g_array_new (FALSE, TRUE, sizeof (struct fw_task_start));
  w->checkpoints = g_array_new (FALSE, TRUE, sizeof (struct fw_task_start));
  w->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (w->rng, seed);
  cf_init (&w->config);
  for (int i = 0; i < workers; i++)
    {
      snprintf (w->worker[i].id, CT_NAME, "w%d", i);
      w->worker[i].gangs = g_array_new (FALSE, TRUE, sizeof (struct fw_gang));
      g_array_set_clear_func (w->worker[i].gangs, clear_gang);
    }
}

/* Shared by all clusters: tests only need it to stand still or to jump.  */
static int64_t wall_now;

static int64_t
wall_ms (void)
{
  return wall_now;
}

void
fw_set_wall (int64_t ms)
{
  wall_now = ms;
}

void
fw_start_vm (struct fw_cluster *w, int i)
{
  struct fw_vm *vm = &w->vm[i];

  memset (vm, 0, sizeof *vm);
  vm->generation = ++w->generations;
  vm->take_delay_ms = i * 50;
  snprintf (vm->name, CT_NAME, "vm-%d", i);
  snprintf (vm->token, CT_TOKEN, "%08x%08x", (unsigned)w->now_ms, (unsigned)i);
  vm->settings = (struct cl_settings){
    .vm = vm->name,
    .token = vm->token,
    .cell_lease_ms = 1000,
    .cell_margin_ms = 200,
    .task_lease_ms = 2000,
    .poll_ms = 100,
    .poll_max_ms = 400,
    .scan_ms = 100,
    .settle_ms = 200,
    .order_timeout_ms = TIMEOUT_MS + 3 * LATENCY_MS,
    .commit_rows = 4,
    .rows_per_second = 50,
    .retention_ms = FW_RETENTION_MS,
    .wall_ms = wall_ms,
    .decide
    = { .weight_completion = 1, .weight_fragmentation = 1, .check = 1 },
  };
  cl_init (&vm->cell, "d1", &vm->settings, &w->config, emit, w);
  vm->alive = 1;
}

void
fw_kill_vm (struct fw_cluster *w, int i)
{
  struct request *r;

  if (!w->vm[i].alive)
    return;
  w->vm[i].alive = 0;
  while ((r = g_queue_pop_head (&w->vm[i].inbox)))
    free_request (r);
  cl_fini (&w->vm[i].cell);
}

static GHashTable *
copy_rows (GHashTable *rows)
{
  GHashTable *copy
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  GHashTableIter it;
  gpointer name, value;

  g_hash_table_iter_init (&it, rows);
  while (g_hash_table_iter_next (&it, &name, &value))
    {
      struct row *row = g_memdup2 (value, sizeof *row);

      row->value = json_deep_copy (row->value);
      g_hash_table_insert (copy, g_strdup (name), row);
    }
  return copy;
}

void
fw_snapshot (struct fw_cluster *w)
{
  g_clear_pointer (&w->snapshot, g_hash_table_destroy);
  w->snapshot = copy_rows (w->rows);
  w->snapshot_rev = w->rev;
}

void
fw_restore (struct fw_cluster *w)
{
  g_hash_table_destroy (w->rows);
  w->rows = copy_rows (w->snapshot);
  w->rev = w->snapshot_rev;
}

void
fw_fini (struct fw_cluster *w)
{
  g_clear_pointer (&w->snapshot, g_hash_table_destroy);
  for (int i = 0; i < FW_VMS; i++)
    fw_kill_vm (w, i);
  g_queue_clear_full (&w->pending, free_request);
  for (int i = 0; i < w->workers; i++)
    g_array_free (w->worker[i].gangs, TRUE);
  g_array_free (w->starts, TRUE);
  g_array_free (w->checkpoints, TRUE);
  g_hash_table_destroy (w->rows);
  cf_fini (&w->config);
  gsl_rng_free (w->rng);
}

int
fw_holder (struct fw_cluster *w)
{
  for (int i = 0; i < FW_VMS; i++)
    if (w->vm[i].alive && !w->vm[i].paused && w->vm[i].cell.phase == CL_SERVING
        && cl_may_act (&w->vm[i].cell))
      return i;
  return -1;
}

void
fw_put_job_of (struct fw_cluster *w, const char *id, const char *account,
               int urgent, int tasks, int per_task, int repeatable, int fails)
{
  fw_write (w, "jobs.d1", id,
            json_pack ("{s:s, s:s, s:i, s:i, s:i, s:b, s:b, s:s, s:i, s:I, "
                       "s:{s:b}}",
                       "account", account, "class", urgent ? "urgent" : "bulk",
                       "tasks", tasks, "per_task", per_task, "declared_ms",
                       1000, "repeatable", repeatable, "preemptible", !urgent,
                       "state", "queued", "attempt", 0, "submitted_at",
                       (json_int_t)w->now_ms, "payload", "fails", fails));
}

void
fw_put_job (struct fw_cluster *w, const char *id, int tasks, int per_task,
            int repeatable, int fails)
{
  fw_put_job_of (w, id, "a", 0, tasks, per_task, repeatable, fails);
}

void
fw_guarantee (struct fw_cluster *w, int version, const char *account, int size,
              int count)
{
  char digest[BS_DIGEST_SIZE];
  json_t *rows;

  bs_digest (digest, account);
  rows = json_pack ("[{s:s, s:{s:i, s:[{s:s, s:s, s:s}]}}, "
                    "{s:s, s:{s:i, s:{s:{s:[{s:i, s:i}]}}}}]",
                    "key", CF_PLANS, "value", "version", version, "list",
                    "account", account, "plan", "p", "key_digest", digest,
                    "key", CF_SPLIT, "value", "version", version, "split",
                    account, "d1", "size", size, "count", count);
  cf_apply (&w->config, rows);
  json_decref (rows);
}

void
fw_cancel (struct fw_cluster *w, const char *id)
{
  json_t *value = json_deep_copy (fw_row (w, "jobs.d1", id));

  json_object_set_new (value, "cancel", json_true ());
  fw_write (w, "jobs.d1", id, value);
}

const char *
fw_job_state (struct fw_cluster *w, const char *id)
{
  return string_field (fw_row (w, "jobs.d1", id), "state");
}

enum
{
  MAX_ATTEMPTS = 64
};

/* Returns a bit mask of the workers that LIST contains for an attempt.  */
static unsigned
workers_of (const GArray *list, const char *job, int attempt)
{
  unsigned bits = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const struct fw_task_start *s
          = &g_array_index (list, struct fw_task_start, i);

      if (!strcmp (s->job, job) && s->attempt == attempt)
        bits |= 1u << s->worker;
    }
  return bits;
}

int
fw_attempts_run (struct fw_cluster *w, const char *job)
{
  int n = 0;

  for (int a = 1; a < MAX_ATTEMPTS; a++)
    n += workers_of (w->starts, job, a) != 0;
  return n;
}

int
fw_repeated_attempts (struct fw_cluster *w, const char *job)
{
  int n = -1;

  for (int a = 1; a < MAX_ATTEMPTS; a++)
    n += workers_of (w->starts, job, a)
         && workers_of (w->starts, job, a)
                != workers_of (w->checkpoints, job, a);
  return n > 0 ? n : 0;
}
