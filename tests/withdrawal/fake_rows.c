#include "withdrawal/fake_rows.h"

#include <stdlib.h>
#include <string.h>

struct fw_call
{
  struct ba_store_call *call;
  GPtrArray *entries; /* struct po_entry; NULL: a read */
  char *from, *to;
  int is_lost;
};

static struct fw_world world;
static struct ba_settings settings = {
  .vm = "vm1", .revoke_ms = 1000000000, .max_requests = 8, .max_tasks = 1000
};

const struct hs_request *
hs_get_request (const struct hs_exchange *e)
{
  return &e->request;
}

const char *
hs_header (struct hs_exchange *e, const char *name)
{
  (void)e;
  return !strcmp (name, "Host") ? "h" : NULL;
}

int
hs_in_progress (struct hs_server *hs)
{
  (void)hs;
  return 0;
}

void
hs_answer (struct hs_exchange *e, const struct hs_answer *answer)
{
  e->status = answer->status;
  e->answers++;
  g_strlcpy (e->body, answer->body, sizeof e->body);
}

void
ba_push (struct batch *b, struct ba_event *e)
{
  (void)b;
  g_free (e);
}

static void
free_entry (void *entry)
{
  struct po_entry *e = entry;

  g_free ((void *)(uintptr_t)e->key);
  g_free ((void *)(uintptr_t)e->value);
  g_free (e);
}

static void
free_call (void *call)
{
  struct fw_call *c = call;

  if (c->entries)
    g_ptr_array_free (c->entries, TRUE);
  g_free (c->from);
  g_free (c->to);
  g_free (c->call);
  g_free (c);
}

int
po_write (struct po_port *port, const struct po_entry *entry, int count,
          int timeout_ms, po_rows_done *done, void *arg)
{
  struct fw_call *c = g_new0 (struct fw_call, 1);

  (void)port;
  (void)timeout_ms;
  (void)done;
  c->call = arg;
  c->entries = g_ptr_array_new_with_free_func (free_entry);
  for (int i = 0; i < count; i++)
    {
      struct po_entry *e = g_new (struct po_entry, 1);

      *e = entry[i];
      e->key = g_strdup (entry[i].key);
      e->value = g_strdup (entry[i].value);
      g_ptr_array_add (c->entries, e);
    }
  world.writes++;
  g_ptr_array_add (world.calls, c);
  return 0;
}

int
po_read (struct po_port *port, const char *table, const char *from,
         const char *to, int timeout_ms, po_rows_done *done, void *arg)
{
  struct fw_call *c = g_new0 (struct fw_call, 1);

  (void)port;
  (void)table;
  (void)timeout_ms;
  (void)done;
  c->call = arg;
  c->from = g_strdup (from);
  c->to = g_strdup (to);
  world.reads++;
  g_ptr_array_add (world.calls, c);
  return 0;
}

int
po_follow (struct po_port *port, const char *table, int64_t after, int wait_ms,
           int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)table;
  (void)after;
  (void)wait_ms;
  (void)timeout_ms;
  (void)done;
  (void)arg;
  return PO_EFULL;
}

void
po_rows_free (struct po_rows *rows)
{
  (void)rows;
}

static void
free_row (void *row)
{
  g_free (((struct fw_row *)row)->value);
  g_free (row);
}

static void
add_row (GArray *out, const char *key)
{
  const struct fw_row *r = g_tree_lookup (world.rows, key);
  struct po_row row = { .table = (char *)"jobs",
                        .key = (char *)(uintptr_t)key,
                        .value = r ? r->value : NULL,
                        .version = r ? r->version : 0 };

  g_array_append_val (out, row);
}

/* Returns 1 if all conditions hold; OUT has the rows of the conditions.  */
static int
check_conditions (const struct fw_call *c, GArray *out)
{
  int hold = 1;

  for (guint i = 0; i < c->entries->len; i++)
    {
      const struct po_entry *e = g_ptr_array_index (c->entries, i);

      if (e->kind != PO_EXPECT)
        continue;
      add_row (out, e->key);
      hold &= g_array_index (out, struct po_row, out->len - 1).version
              == e->version;
    }
  return hold;
}

static void
apply_entries (const struct fw_call *c)
{
  world.version++;
  for (guint i = 0; i < c->entries->len; i++)
    {
      const struct po_entry *e = g_ptr_array_index (c->entries, i);
      struct fw_row *r;

      if (e->kind == PO_DELETE)
        g_tree_remove (world.rows, e->key);
      if (e->kind != PO_PUT)
        continue;
      r = g_new (struct fw_row, 1);
      *r = (struct fw_row){ g_strdup (e->value), world.version };
      g_tree_replace (world.rows, g_strdup (e->key), r);
    }
}

struct scan
{
  const struct fw_call *call;
  GArray *out;
};

static gboolean
scan_row (gpointer key, gpointer value, gpointer arg)
{
  const struct scan *s = arg;

  (void)value;
  if (strcmp (key, s->call->from) >= 0 && strcmp (key, s->call->to) < 0)
    add_row (s->out, key);
  return FALSE;
}

/* Executes C and gives its VM the answer, unless that is lost.  */
static void
execute (struct fw_call *c)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct po_row));
  struct scan scan = { c, out };
  struct po_rows rows = { .result = PO_DONE };
  struct batch *b = c->call->b;

  if (!c->entries)
    g_tree_foreach (world.rows, scan_row, &scan);
  else if (world.refuses_writes)
    rows.result = PO_NOT_DONE;
  else if (!check_conditions (c, out))
    rows.result = PO_CONFLICT;
  else
    apply_entries (c);
  rows.version = world.version;
  rows.row = (struct po_row *)(void *)out->data;
  rows.count = (int)out->len;
  if (!c->is_lost && c->call->pending)
    pe_on_reply (c->call->pending, &rows);
  else if (!c->is_lost && c->call->purpose == BA_EXPIRE)
    wx_on_reply (b, &rows);
  g_array_free (out, TRUE);
  free_call (c);
}

void
fw_run_oldest (struct fw_world *w)
{
  execute (g_ptr_array_steal_index (w->calls, 0));
}

void
fw_run (struct fw_world *w)
{
  while (w->calls->len)
    fw_run_oldest (w);
}

struct fw_call *
fw_take (struct fw_world *w)
{
  struct fw_call *c = g_ptr_array_steal_index (w->calls, 0);
  struct po_rows lost = { .result = PO_UNKNOWN };

  if (c->call->pending)
    pe_on_reply (c->call->pending, &lost);
  c->call->pending = NULL;
  c->is_lost = 1;
  return c;
}

void
fw_execute_late (struct fw_world *w, struct fw_call *c)
{
  (void)w;
  execute (c);
}

void
fw_call (struct fw_world *w, int vm, struct hs_exchange *ex,
         const char *method, const char *path, const char *key)
{
  memset (ex, 0, sizeof *ex);
  ex->request = (struct hs_request){
    .method = method,
    .path = path,
    .authorization = key,
    .body = "{\"specification\":\"x\",\"steps\":[{\"count\":1}]}"
  };
  fr_request (&w->vm[vm], ex);
}

void
fw_wait (struct fw_world *w, int64_t ms)
{
  for (int i = 0; i < 2; i++)
    {
      struct batch *b = &w->vm[i];

      b->now_ms += ms;
      b->store_clock_ms = b->now_ms;
      b->store_clock_at_ms = b->now_ms;
      b->job_follower.fresh_ms = b->config_follower.fresh_ms = b->now_ms;
      pe_tick (b);
    }
}

static gboolean
follow_row (gpointer key, gpointer value, gpointer arg)
{
  const struct fw_row *r = value;
  struct batch *b = arg;

  vw_apply_row (&b->view, key, r->value, r->version, 0,
                b->job_follower.generation);
  return FALSE;
}

void
fw_follow (struct fw_world *w, int vm)
{
  struct batch *b = &w->vm[vm];

  b->job_follower.generation++;
  g_tree_foreach (w->rows, follow_row, b);
  vw_remove_unseen (&b->view, b->job_follower.generation);
}

int
fw_has_row (const struct fw_world *w, const char *key)
{
  return g_tree_lookup (w->rows, key) != NULL;
}

void
fw_remove_row (struct fw_world *w, const char *key)
{
  g_tree_remove (w->rows, key);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer arg)
{
  (void)arg;
  return strcmp (a, b);
}

struct fw_world *
fw_init (void)
{
  const char *reason;

  memset (&world, 0, sizeof world);
  world.rows = g_tree_new_full (compare_keys, NULL, g_free, free_row);
  world.calls = g_ptr_array_new_with_free_func (free_call);
  for (int i = 0; i < 2; i++)
    {
      struct batch *b = &world.vm[i];

      b->settings = &settings;
      b->now_ms = 100000;
      ac_init (&b->access, b->now_ms);
      co_init (b);
      vw_init (&b->view);
      b->pending = g_ptr_array_new_with_free_func (pe_free);
      b->config = po_config_read (
          "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
          "\"prefix\":\"/p/\",\"service\":\"s\"},{\"name\":\"o\",\"host\":"
          "\"h\",\"prefix\":\"/o/\",\"service\":\"s\",\"public\":true}],"
          "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]},"
          "{\"name\":\"u\",\"api_keys\":[\"l\"]}]}",
          &reason);
      b->config_follower.synced = b->job_follower.synced = 1;
    }
  fw_wait (&world, 0);
  return &world;
}

void
fw_fini (struct fw_world *w)
{
  for (int i = 0; i < 2; i++)
    {
      g_ptr_array_free (w->vm[i].pending, TRUE);
      vw_fini (&w->vm[i].view);
      qu_free (w->vm[i].config);
      st_fini (&w->vm[i].stats);
    }
  g_ptr_array_free (w->calls, TRUE);
  g_tree_destroy (w->rows);
}
