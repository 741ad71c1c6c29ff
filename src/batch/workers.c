/* What the holder knows of each worker: from the list, and from whether it
   answers.  */
#include <string.h>

#include "batch/workers.h"

enum
{
  PROBE_GAP_MS = 400, /* between questions to one that is silent */
  SILENT_AFTER = 2    /* unanswered questions before a worker is silent */
};

void
wk_free (void *worker)
{
  struct ba_worker *w = worker;

  g_free (w->id);
  g_free (w->address);
  g_free (w);
}

struct ba_worker *
wk_find (struct batch *b, const char *id)
{
  return b->workers ? g_hash_table_lookup (b->workers, id) : NULL;
}

/* What its clock shows now, or a little less.  */
int64_t
wk_clock (const struct batch *b, const struct ba_worker *w)
{
  return w->clock_ms + b->now - w->clock_at_ms;
}

/* On this clock, when a lease of MS that is sent now has surely ended: the
   worker's clock may be a fiftieth slow.  */
int64_t
wk_surely_over (const struct batch *b, int64_t ms)
{
  return b->now + ms + ms / 50 + 50;
}

void
wk_heard_clock (struct batch *b, struct ba_worker *w, int64_t clock_ms)
{
  if (!clock_ms)
    return;
  w->clock_ms = clock_ms;
  w->clock_at_ms = b->now;
}

void
wk_log (const struct ba_worker *w, const char *belief, const char *reason)
{
  struct lg_field f[] = { lg_str ("worker", w->id), lg_str ("belief", belief),
                          lg_str ("reason", reason), lg_int ("life", w->life),
                          lg_int ("failures", w->failures) };

  lg_log (LG_WORKER_BELIEF, 5, f);
}

void
wk_was_silent (struct batch *b, struct ba_worker *w)
{
  w->failures++;
  w->next_hold_ms = b->now + (w->failures > 1 ? PROBE_GAP_MS : 0);
  if (w->failures != SILENT_AFTER)
    return;
  sj_worker_reachable (b->cluster, w->id, 0);
  wk_log (w, "silent", "questions were not answered");
}

void
wk_was_heard (struct batch *b, struct ba_worker *w)
{
  if (w->failures >= SILENT_AFTER)
    wk_log (w, "heard", "it answers again");
  w->failures = 0;
  sj_worker_reachable (b->cluster, w->id, 1);
}

/* A higher token was seen: another VM is the holder by now.  */
int
wk_check_fence (struct batch *b, const struct po_order_answer *a)
{
  if (!a->fenced)
    return 0;
  ho_step_down (b, "a worker has seen a higher token");
  return 1;
}

void
wk_begin_life (struct batch *b, struct ba_worker *w, int64_t life)
{
  wk_log (w, "restarted", "another incarnation");
  w->life = life;
  w->seen = w->taken = w->committing = w->told = 0;
  w->clock_ms = w->clock_at_ms = 0;
  w->surveyed = 0;
  w->next_hold_ms = b->now;
}

static void
unlist (struct batch *b, const char *id, const char *reason)
{
  struct ba_worker *w = wk_find (b, id);

  if (!w || !w->listed)
    return;
  w->listed = 0;
  wk_log (w, "unlisted", reason);
  sj_worker_unlisted (b->cluster, id);
}

static struct ba_worker *
find_or_make (struct batch *b, const char *id)
{
  struct ba_worker *w = wk_find (b, id);

  if (w)
    return w;
  w = g_new0 (struct ba_worker, 1);
  w->id = g_strdup (id);
  w->next_hold_ms = b->now;
  g_hash_table_insert (b->workers, w->id, w);
  return w;
}

static void
take_worker (struct batch *b, const struct po_worker *p, int generation)
{
  struct ba_worker *w = find_or_make (b, p->id);
  struct sj_worker_info info = { .id = p->id,
                                 .life = p->life,
                                 .service = p->service,
                                 .kind = p->kind,
                                 .rack = p->rack,
                                 .capacity = p->capacity,
                                 .draining = p->draining,
                                 .remaining_ms = p->remaining_ms };

  if (w->life && p->life && p->life < w->life)
    return;
  if (p->life > w->life && w->life)
    wk_begin_life (b, w, p->life);
  if (p->life)
    w->life = p->life;
  if (g_strcmp0 (w->address, p->address))
    {
      g_free (w->address);
      w->address = g_strdup (p->address);
    }
  if (!w->listed)
    {
      wk_log (w, "listed", p->draining ? "draining" : "ready");
      /* The decisions may have forgotten it meanwhile.  */
      w->surveyed = 0;
    }
  else if (w->draining != p->draining)
    wk_log (w, p->draining ? "draining" : "ready", "by the list");
  w->listed = 1;
  w->draining = p->draining;
  w->generation = generation;
  sj_worker_set (b->cluster, &info, b->now);
}

void
wk_row (struct batch *b, const struct po_row *row, int generation)
{
  const char *reason = NULL;
  struct po_worker *p;

  if (!b->cluster)
    return;
  if (row->deleted)
    {
      unlist (b, row->key, "its row was removed");
      return;
    }
  p = po_worker_read (row, &reason);
  if (p)
    take_worker (b, p, generation);
  else
    {
      unlist (b, row->key, reason);
      ba_log_bad_row (row->table, row->key);
    }
  po_worker_free (p);
}

void
wk_whole (struct batch *b, int generation)
{
  GHashTableIter iter;
  gpointer value;

  if (!b->workers)
    return;
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ba_worker *w = value;

      if (w->generation != generation)
        unlist (b, w->id, "a whole reading did not show it");
    }
}
