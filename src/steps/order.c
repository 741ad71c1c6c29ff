/* The order in which waiting steps are tried.  */
#include <string.h>

#include "steps/order.h"

static int
by_acceptance (const void *a, const void *b)
{
  const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;

  if (x->accepted_ms != y->accepted_ms)
    return x->accepted_ms < y->accepted_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

void
or_rank_jobs (struct sj_cluster *c)
{
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);

  g_ptr_array_sort (c->job_list, by_acceptance);
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);
      const char *account = j->spec->account ? j->spec->account : "";
      gint64 sum, *guarantee;

      j->rank = RANK_URGENT + j->spec->priority;
      if (j->spec->priority || jb_ended (j))
        continue;
      sum = GPOINTER_TO_INT (g_hash_table_lookup (used, account))
            + j->peak_accelerators;
      guarantee = g_hash_table_lookup (c->guarantees, account);
      if (!guarantee || sum > *guarantee)
        continue;
      j->rank = RANK_GUARANTEED;
      g_hash_table_insert (used, (gpointer)account,
                           GINT_TO_POINTER ((int)sum));
    }
  g_hash_table_destroy (used);
}

/* The latest start of U that meets its job's objective.  WALL_OFFSET is the
   time of day less the monotonic clock, in milliseconds.  */
static int64_t
latest_start_ms (const struct unit *u, int64_t wall_offset)
{
  const struct job *j = u->job;
  const struct sj_job *s = j->spec;
  int64_t base = j->accepted_ms;

  if (s->occurrences)
    base = s->first_due_ms + u->occurrence * s->interval_ms - wall_offset;
  return base + (int64_t)(s->stretch * (double)j->critical_path_ms)
         + s->target_ms - sd_run_ms (j->cluster, u);
}

static int
by_urgency (const void *a, const void *b)
{
  const struct ready_step *x = a, *y = b;
  const struct unit *p = x->unit, *q = y->unit;
  int order;

  if (p->job->rank != q->job->rank)
    return p->job->rank - q->job->rank;
  if (x->latest_start_ms != y->latest_start_ms)
    return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
  order = strcmp (p->job->spec->id, q->job->spec->id);
  if (order)
    return order;
  if (p->occurrence != q->occurrence)
    return p->occurrence - q->occurrence;
  return p->step - q->step;
}

/* Appends J's steps with waiting units to LIST.  */
static void
list_ready_steps (struct job *j, int64_t wall_offset, GArray *list)
{
  guint end;

  for (guint i = 0; i < j->units->len; i = end)
    {
      struct ready_step r = { .job = j, .first = i };

      for (end = i; end < j->units->len
                    && un_same_step (jb_unit (j, i), jb_unit (j, end));
           end++)
        if (jb_unit (j, end)->state == UN_READY)
          {
            r.tasks += jb_unit (j, end)->count;
            if (!r.unit)
              r.unit = jb_unit (j, end);
          }
      r.end = end;
      if (!r.unit)
        continue;
      r.latest_start_ms = latest_start_ms (r.unit, wall_offset);
      g_array_append_val (list, r);
    }
}

struct fs_amount
or_work (const struct unit *u, int tasks)
{
  const struct sj_step *s = un_step (u);
  struct sj_resources need = nd_for_step (s);
  double tasks_ms = (double)tasks * (double)sd_run_ms (u->job->cluster, u);

  return (struct fs_amount){ { (double)need.cpu_milli * tasks_ms,
                               (double)need.memory_mb * tasks_ms,
                               (double)need.accelerators * tasks_ms } };
}

static void
fill_requests (GArray *list)
{
  for (guint i = 0; i < list->len; i++)
    {
      struct ready_step *r = &g_array_index (list, struct ready_step, i);

      r->request = (struct fs_request){ .account = r->job->account,
                                        .ready_ms = r->unit->ready_ms,
                                        .latest_start_ms = r->latest_start_ms,
                                        .work = or_work (r->unit, r->tasks),
                                        .ahead = -1 };
    }
}

/* Puts the N steps at STEP, which are of one rank, into the order of fs_order,
   with AHEAD as the work of higher rank.  */
static void
order_rank (struct sj_cluster *c, struct ready_step *step, int n,
            const struct fs_amount *ahead, int64_t now)
{
  struct fs_request *request = g_new (struct fs_request, n);
  struct ready_step *old = g_memdup2 (step, (gsize)n * sizeof *step);
  int *order = g_new (int, n);

  for (int i = 0; i < n; i++)
    request[i] = step[i].request;
  fs_order (&c->shares, request, n, ahead, now, order);
  for (int i = 0; i < n; i++)
    {
      const struct fs_request *r = &request[order[i]];

      step[i] = old[order[i]];
      step[i].request = *r;
      if (r->ahead < 0)
        continue;
      step[i].ahead = old[r->ahead].unit;
      step[i].ahead_slack_ms = old[r->ahead].latest_start_ms - now;
      step[i].ahead_wait_ms = request[r->ahead].wait_ms;
    }
  g_free (request);
  g_free (old);
  g_free (order);
}

/* Changes the order of each rank below RANK_GUARANTEED by the accounts'
   shares.  */
static void
order_by_shares (struct sj_cluster *c, GArray *list, int64_t now)
{
  struct ready_step *step = (struct ready_step *)(void *)list->data;
  struct fs_amount ahead = { { 0 } };

  for (guint i = 0, end; i < list->len; i = end)
    {
      struct fs_amount sum = ahead;

      for (end = i;
           end < list->len && step[end].job->rank == step[i].job->rank; end++)
        fs_add_work (&sum, &step[end].request.work);
      if (step[i].job->rank > RANK_GUARANTEED)
        order_rank (c, &step[i], (int)(end - i), &ahead, now);
      ahead = sum;
    }
}

GArray *
or_list_ready (struct sj_cluster *c, int64_t now, int64_t wall_offset)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct ready_step));

  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      if (!jb_ended (j) && ad_may_plan (j))
        list_ready_steps (j, wall_offset, list);
    }
  g_array_sort (list, by_urgency);
  if (!c->settings.fair_share)
    return list;
  as_update (c, list, now);
  fill_requests (list);
  if (c->is_scarce)
    order_by_shares (c, list, now);
  return list;
}
