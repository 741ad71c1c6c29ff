/* Workers: what they hold, what is left, and when a silent one is empty.  */
#include <string.h>

#include "steps/steps.h"

struct worker *
wo_find (struct sj_cluster *c, const char *id)
{
  return g_hash_table_lookup (c->workers, id);
}

static void
set_text (char **field, const char *value)
{
  if (g_strcmp0 (*field, value))
    {
      g_free (*field);
      *field = g_strdup (value);
    }
}

void
wo_free (void *worker)
{
  struct worker *w = worker;

  g_free (w->id);
  g_free (w->service);
  g_free (w->kind);
  g_free (w->rack);
  g_ptr_array_free (w->member, TRUE);
  g_free (w);
}

void
wo_occupy (struct member *m)
{
  struct sj_need need = nd_of_step (un_step (m->unit));

  g_ptr_array_add (m->worker->member, m);
  nd_add (&m->worker->used, &need);
}

void
wo_release (struct member *m)
{
  struct sj_need need = nd_of_step (un_step (m->unit));

  if (g_ptr_array_remove_fast (m->worker->member, m))
    nd_sub (&m->worker->used, &need);
}

int
wo_usable (const struct sj_cluster *c, const struct worker *w)
{
  return w->listed && !w->draining && w->reachable && w->surveyed
         && !w->strangers && c->now >= w->suspect_until_ms;
}

/* Every run there has surely ended.  */
static void
empty_worker (struct sj_cluster *c, struct worker *w, int64_t now)
{
  while (w->member->len)
    ru_member_gone (c, g_ptr_array_index (w->member, 0), now);
  c->changed = 1;
}

static struct worker *
new_worker (struct sj_cluster *c, const char *id, int64_t now)
{
  struct worker *w = g_new0 (struct worker, 1);

  w->id = g_strdup (id);
  w->member = g_ptr_array_new ();
  w->reachable = 1;
  w->added_ms = now;
  g_hash_table_insert (c->workers, w->id, w);
  g_ptr_array_add (c->worker_list, w);
  return w;
}

/* Another incarnation holds nothing of the one before.  But orders that were
   sent in the belief that it is still the old one may be its own already, so
   only its lists tell which runs are gone.  */
static void
begin_life (struct sj_cluster *c, struct worker *w, int64_t life, int64_t now)
{
  w->life = life;
  w->surveyed = 0;
  w->reachable = 1;
  w->failures = 0;
  w->suspect_until_ms = 0;
  w->slow_ms = 0;
  w->added_ms = now;
  c->changed = 1;
}

void
sj_worker_set (struct sj_cluster *c, const struct sj_worker_info *info,
               int64_t now)
{
  struct worker *w = wo_find (c, info->id);

  if (!w)
    w = new_worker (c, info->id, now);
  if (w->life && info->life && info->life < w->life)
    return;
  if (w->life && info->life > w->life)
    begin_life (c, w, info->life, now);
  if (info->life)
    w->life = info->life;
  set_text (&w->service, info->service);
  set_text (&w->kind, info->kind);
  set_text (&w->rack, info->rack);
  w->capacity = info->capacity;
  if (info->draining && !w->draining)
    w->drain_end_ms = now + info->remaining_ms;
  w->draining = info->draining;
  w->listed = 1;
  c->changed = 1;
}

void
sj_worker_unlisted (struct sj_cluster *c, const char *id)
{
  struct worker *w = wo_find (c, id);

  if (!w)
    return;
  w->listed = 0;
  c->changed = 1;
}

void
sj_worker_reborn (struct sj_cluster *c, const char *id, int64_t life,
                  int64_t now)
{
  struct worker *w = wo_find (c, id);

  if (w)
    begin_life (c, w, life, now);
}

void
sj_worker_leased (struct sj_cluster *c, const char *id, int64_t until_ms)
{
  struct worker *w = wo_find (c, id);

  if (w && until_ms > w->lease_until_ms)
    w->lease_until_ms = until_ms;
}

void
sj_worker_reachable (struct sj_cluster *c, const char *id, int yes)
{
  struct worker *w = wo_find (c, id);

  if (!w || w->reachable == yes)
    return;
  w->reachable = yes;
  c->changed = 1;
}

int
sj_worker_busy (struct sj_cluster *c, const char *id)
{
  struct worker *w = wo_find (c, id);

  return w && w->member->len > 0;
}

static int
is_silent (const struct worker *w)
{
  return !w->reachable || !w->listed;
}

void
wo_collect (struct sj_cluster *c)
{
  for (guint i = c->worker_list->len; i-- > 0;)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->member->len && is_silent (w) && c->now > w->lease_until_ms
          && c->now > w->added_ms + c->set.survey_ms)
        empty_worker (c, w, c->now);
      if (w->listed || w->member->len)
        continue;
      g_ptr_array_remove_index_fast (c->worker_list, i);
      g_hash_table_remove (c->workers, w->id);
    }
}
