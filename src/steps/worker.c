/* Workers: their used capacity, incarnations and leases, and when the runs of
   a silent worker have ended.  */
#include <string.h>

#include "steps/state.h"

enum
{
  /* Reports of an incarnation from which on further ones are expected.  A
     platform may pass on only those that tell something new.  */
  REGULAR_REPORTS = 4,
  /* A smaller capacity counts 4.5 s after it is reported: 3 s and one interval
     between reports.  This is less by the time of an order.  */
  REPORT_MAX_AGE_MS = 4000,
  /* The platform removes the entry of a silent worker after three intervals
     between reports.  One that is still there after this time, without that
     in which the table was not confirmed, has nothing new to tell.  */
  MAX_SILENCE_MS = 3 * REPORT_MAX_AGE_MS,
  LIFE_TAG_MODULUS = 65521 /* keeps a tag at five digits */
};

int
wo_life_tag (int64_t incarnation)
{
  return incarnation ? 1 + (int)(incarnation % LIFE_TAG_MODULUS) : 0;
}

int
wo_has_crashed_under (const struct member *m)
{
  int tag = wo_life_tag (m->worker->incarnation);

  return m->life_tag && tag && m->life_tag != tag;
}

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
  g_free (w->kind);
  g_ptr_array_free (w->members, TRUE);
  g_free (w);
}

void
wo_add_member (struct member *m)
{
  struct sj_resources need = nd_for_step (un_step (m->unit));

  g_ptr_array_add (m->worker->members, m);
  nd_add (&m->worker->used, &need);
}

void
wo_remove_member (struct member *m)
{
  struct sj_resources need = nd_for_step (un_step (m->unit));

  if (g_ptr_array_remove_fast (m->worker->members, m))
    nd_sub (&m->worker->used, &need);
}

/* How long starts have been held so far, as the table was not confirmed.  */
static int64_t
held_ms (const struct sj_cluster *c, int64_t now)
{
  return c->held_ms + (c->starts_held ? now - c->hold_start_ms : 0);
}

int
wo_report_is_overdue (const struct sj_cluster *c, const struct worker *w)
{
  int64_t age_ms = c->now - w->reported_ms;

  return w->reports >= REGULAR_REPORTS && age_ms > REPORT_MAX_AGE_MS
         && age_ms - (held_ms (c, c->now) - w->reported_held_ms)
                <= MAX_SILENCE_MS;
}

int
wo_fits_capacity (const struct worker *w)
{
  return nd_fits (&w->used, &w->capacity);
}

int
wo_usable (const struct sj_cluster *c, const struct worker *w)
{
  return w->listed && w->capacity_known && !wo_report_is_overdue (c, w)
         && !w->draining && w->reachable && w->runs_known && !w->unknown_runs
         && !w->replaced && !w->paused && c->now >= w->suspect_until_ms
         && !w->domain_closed;
}

int
wo_is_cold (const struct sj_cluster *c, const struct worker *w)
{
  return c->settings.domains && c->now < w->cold_until_ms;
}

static void
update_domain_closed (const struct sj_cluster *c, struct worker *w)
{
  w->domain_closed = c->settings.domains
                     && dm_find (c->settings.domains, w->domain) != NULL;
}

void
sj_domains_changed (struct sj_cluster *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    update_domain_closed (c, g_ptr_array_index (c->worker_list, i));
  c->changed = 1;
}

void
sj_count_domain (const struct sj_cluster *c, const char *name, int *workers,
                 int *runs)
{
  *workers = *runs = 0;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (g_strcmp0 (w->domain, name))
        continue;
      *workers += w->listed;
      *runs += (int)w->members->len;
    }
}

/* Whether the answer to M's start will tell whether it was executed.  */
static int
awaits_answer (const struct member *m)
{
  return m->state == MB_STARTING && m->start_sent && !m->start_resolved
         && !m->from_record;
}

/* Loses the members of W, whose runs have all ended for LOSS.  */
static void
lose_all_members (struct sj_cluster *c, struct worker *w, enum sj_loss loss,
                  int64_t now)
{
  GPtrArray *members = g_ptr_array_sized_new (w->members->len + 1);

  for (guint i = 0; i < w->members->len; i++)
    {
      struct member *m = g_ptr_array_index (w->members, i);

      if (!awaits_answer (m))
        g_ptr_array_add (members, m);
    }
  lo_lose_members (c, w, members, loss, now);
  g_ptr_array_free (members, TRUE);
  c->changed = 1;
}

/* Whether W, whose process has ended by NOW, may have left as planned.  */
static int
may_have_left (const struct worker *w, int64_t now)
{
  return w->draining && now >= w->min_drain_end_ms;
}

/* Why a run on W ends that W does not list any more.  */
static enum sj_loss
loss_with (const struct worker *w)
{
  if (w->replaced)
    return w->has_left ? SJ_LOSS_LEFT : SJ_LOSS_CRASH;
  return w->draining ? SJ_LOSS_LEFT : SJ_LOSS_EXPIRED;
}

static struct worker *
new_worker (struct sj_cluster *c, const char *id, int64_t now)
{
  struct worker *w = g_new0 (struct worker, 1);

  w->id = g_strdup (id);
  w->members = g_ptr_array_new ();
  w->reachable = 1;
  w->added_ms = now;
  g_hash_table_insert (c->workers, w->id, w);
  g_ptr_array_add (c->worker_list, w);
  return w;
}

/* A stop that an earlier incarnation accepted does not keep the present one
   from carrying out a start.  */
static void
forget_accepted_stops (struct worker *w)
{
  for (guint i = 0; i < w->members->len; i++)
    ((struct member *)g_ptr_array_index (w->members, i))->stop_acked = 0;
}

/* Begins a new incarnation of W, which has no runs of the earlier one.  But
   orders sent while the earlier one was believed to be running may have
   reached the new one, so only its listings show which runs have ended.  */
static void
begin_incarnation (struct sj_cluster *c, struct worker *w, int64_t incarnation,
                   int64_t now)
{
  w->incarnation = incarnation;
  if (!w->replaced)
    w->has_left = may_have_left (w, now);
  w->min_drain_end_ms = 0;
  w->runs_known = w->capacity_known = w->reports = w->left_alone = 0;
  w->replaced = 0;
  w->reachable = 1;
  w->consecutive_failures = 0;
  w->suspect_until_ms = 0;
  w->seen_slow_ms = 0;
  w->added_ms = now;
  c->changed = 1;
  forget_accepted_stops (w);
  lo_worker_has_crashed (c, w->id, wo_life_tag (incarnation), now);
}

static void
note_capacity (const struct sj_cluster *c, const struct worker *w)
{
  struct sj_note note = { .kind = SJ_NOTE_CAPACITY,
                          .worker = w->id,
                          .u.capacity = { w->capacity, w->used } };

  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

static void
set_capacity (const struct sj_cluster *c, struct worker *w,
              const struct sj_resources *capacity)
{
  static const struct sj_resources unknown;
  int known = memcmp (&w->capacity, &unknown, sizeof unknown) != 0;

  w->capacity_known = 1;
  if (!memcmp (&w->capacity, capacity, sizeof *capacity))
    return;
  w->capacity = *capacity;
  w->capacity_serial++;
  if (known)
    note_capacity (c, w);
}

static void
note_report (const struct sj_cluster *c, struct worker *w,
             const struct sj_worker_info *info, int64_t now)
{
  if (info->version == w->version)
    return;
  if (now - w->reported_ms > MAX_SILENCE_MS)
    w->reports = 0;
  w->version = info->version;
  /* The worker wrote this report after its previous one was read.  */
  if (info->draining && w->reported_ms)
    w->min_drain_end_ms
        = MAX (w->min_drain_end_ms, w->reported_ms + info->remaining_ms);
  w->reported_ms = now;
  w->reported_held_ms = held_ms (c, now);
  w->reports++;
  w->cold_until_ms
      = info->cold_remaining_ms > 0 ? now + info->cold_remaining_ms : 0;
}

/* A row without a domain does not show that the worker has left its own, which
   may be closed.  */
static void
set_domain (const struct sj_cluster *c, struct worker *w, const char *domain)
{
  if (domain && *domain)
    w->domain = g_intern_string (domain);
  update_domain_closed (c, w);
}

void
sj_worker_set (struct sj_cluster *c, const struct sj_worker_info *info,
               int64_t now)
{
  struct worker *w = wo_find (c, info->id);

  if (!w)
    w = new_worker (c, info->id, now);
  if (w->incarnation && info->incarnation
      && info->incarnation < w->incarnation)
    return;
  if (w->incarnation && info->incarnation > w->incarnation)
    begin_incarnation (c, w, info->incarnation, now);
  if (info->incarnation && !w->incarnation)
    lo_worker_has_crashed (c, w->id, wo_life_tag (info->incarnation), now);
  if (info->incarnation)
    w->incarnation = info->incarnation;
  w->service = g_intern_string (info->service);
  set_text (&w->kind, info->kind);
  rk_move (c, w, info->rack);
  set_capacity (c, w, &info->capacity);
  set_domain (c, w, info->domain);
  note_report (c, w, info, now);
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
sj_worker_restarted (struct sj_cluster *c, const char *id, int64_t incarnation,
                     int64_t now)
{
  struct worker *w = wo_find (c, id);

  if (w)
    begin_incarnation (c, w, incarnation, now);
}

void
sj_worker_replaced (struct sj_cluster *c, const char *id, int64_t now)
{
  struct worker *w = wo_find (c, id);

  lo_worker_has_crashed (c, id, 0, now);
  if (!w || w->replaced)
    return;
  w->replaced = 1;
  w->has_left = may_have_left (w, now);
  lose_all_members (c, w, loss_with (w), now);
}

void
wo_lose_member (struct sj_cluster *c, struct member *m, int64_t now)
{
  GPtrArray *members = g_ptr_array_new ();

  g_ptr_array_add (members, m);
  lo_lose_members (c, m->worker, members, loss_with (m->worker), now);
  g_ptr_array_free (members, TRUE);
}

void
sj_worker_set_lease (struct sj_cluster *c, const char *id, int64_t until_ms)
{
  struct worker *w = wo_find (c, id);

  if (w && until_ms > w->lease_end_ms)
    w->lease_end_ms = until_ms;
}

void
sj_worker_set_reachable (struct sj_cluster *c, const char *id, int yes)
{
  struct worker *w = wo_find (c, id);

  if (!w || w->reachable == yes)
    return;
  w->reachable = yes;
  c->changed = 1;
}

void
sj_worker_set_paused (struct sj_cluster *c, const char *id, int yes)
{
  struct worker *w = wo_find (c, id);

  if (!w || w->paused == yes)
    return;
  w->paused = yes;
  c->changed = 1;
}

int
sj_worker_has_runs (struct sj_cluster *c, const char *id)
{
  struct worker *w = wo_find (c, id);

  return w && (w->members->len > 0 || w->left_alone);
}

static int
is_unreachable (const struct worker *w)
{
  return !w->reachable || !w->listed || w->replaced;
}

void
wo_remove_expired (struct sj_cluster *c)
{
  for (guint i = c->worker_list->len; i-- > 0;)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->members->len && is_unreachable (w) && c->now > w->lease_end_ms
          && c->now > w->added_ms + c->settings.silent_timeout_ms)
        lose_all_members (c, w, w->draining ? SJ_LOSS_LEFT : SJ_LOSS_EXPIRED,
                          c->now);
      if (w->listed || w->members->len
          || (w->left_alone && c->now <= w->lease_end_ms))
        continue;
      g_ptr_array_remove_index_fast (c->worker_list, i);
      rk_move (c, w, NULL);
      g_hash_table_remove (c->workers, w->id);
    }
}
