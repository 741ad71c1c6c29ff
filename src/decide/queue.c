/* Queues of jobs by shape and by account, and the order of the shape
   queues.  */
#include "state.h"

static bool
job_before (const void *arg, uint32_t a, uint32_t b)
{
  const struct dc *dc = arg;
  const struct dc_job *x = &dc->jobs.v[a], *y = &dc->jobs.v[b];

  if (x->sort_key != y->sort_key)
    return x->sort_key < y->sort_key;
  return x->seq < y->seq;
}

static void
moved_in_queue (void *arg, uint32_t a, uint32_t position)
{
  ((struct dc *)arg)->jobs.v[a].position[0] = position;
}

static void
moved_in_account_queue (void *arg, uint32_t a, uint32_t position)
{
  ((struct dc *)arg)->jobs.v[a].position[1] = position;
}

static bool
queue_before (const void *arg, uint32_t a, uint32_t b)
{
  const struct dc *dc = arg;
  const struct dc_queue *x = &dc->queues.v[a], *y = &dc->queues.v[b];

  if (dc->config.policy == DC_POLICY_DEFAULT && x->class != y->class)
    return x->class < y->class;
  return job_before (dc, x->jobs.v[0], y->jobs.v[0]);
}

static void
queue_moved (void *arg, uint32_t a, uint32_t position)
{
  ((struct dc *)arg)->queues.v[a].position = position;
}

static struct hp_order
queue_heap_order (struct dc *dc)
{
  return (struct hp_order){ queue_before, queue_moved, dc };
}

static uint32_t
find_queue (struct dc *dc, const struct dc_job *job)
{
  bool nonpreemptible = !job->spec.preemptible;
  struct dc_queue *q;

  for (uint32_t i = 0; i < dc->queues.n; i++)
    {
      q = &dc->queues.v[i];
      if (q->tasks == job->spec.tasks && q->per_task == job->spec.per_task
          && q->class == job->spec.class
          && q->nonpreemptible == nonpreemptible)
        return i;
    }
  if (DC_GROW (dc, dc->queues, dc->queues.n))
    return DC_NONE;
  q = &dc->queues.v[dc->queues.n - 1];
  q->tasks = job->spec.tasks;
  q->per_task = job->spec.per_task;
  q->class = (uint8_t)job->spec.class;
  q->nonpreemptible = nonpreemptible;
  q->position = DC_NONE;
  return dc->queues.n - 1;
}

static uint32_t
find_account_queue (struct dc *dc, uint32_t account, uint32_t queue)
{
  uint32_t i = dc->accounts.v[account].queues;
  struct dc_account_queue *account_queue;

  for (; i != DC_NONE; i = dc->account_queues.v[i].next)
    if (dc->account_queues.v[i].queue == queue)
      return i;
  i = dc->account_queues.n;
  if (DC_GROW (dc, dc->account_queues, i))
    return DC_NONE;
  account_queue = &dc->account_queues.v[i];
  account_queue->account = account;
  account_queue->queue = queue;
  account_queue->next = dc->accounts.v[account].queues;
  dc->accounts.v[account].queues = i;
  return i;
}

int64_t
dc_queue_sort_key (const struct dc *dc, const struct dc_job *job)
{
  if (dc->config.policy != DC_POLICY_DEFAULT || job->spec.class == DC_URGENT)
    return job->submit_ms;
  return job->submit_ms + dc_learn_queue_delay_ms (dc, job);
}

void
dc_account_mark_dirty (struct dc *dc, uint32_t id)
{
  struct dc_account *account = &dc->accounts.v[id];

  if (account->dirty || DC_GROW (dc, dc->dirty_accounts, dc->dirty_accounts.n))
    return;
  dc->dirty_accounts.v[dc->dirty_accounts.n - 1] = id;
  account->dirty = true;
}

/* Restores the order of the queues after the first job of queue ID
   changed.  */
static void
update_queue_order (struct dc *dc, uint32_t id)
{
  struct dc_queue *q = &dc->queues.v[id];
  struct hp_order order = queue_heap_order (dc);

  if (q->position == DC_NONE && q->jobs.n > 0 && !q->blocked)
    hp_push (&dc->queue_order, &order, id);
  else if (q->position != DC_NONE && q->jobs.n > 0)
    hp_update (&dc->queue_order, &order, q->position);
}

int
dc_queue_add (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct hp_order in_queue = { job_before, moved_in_queue, dc };
  struct hp_order in_account_queue
      = { job_before, moved_in_account_queue, dc };

  job->state = DC_QUEUED;
  job->queued_ms = dc->now_ms;
  job->queue = find_queue (dc, job);
  if (job->queue == DC_NONE)
    return DC_ENOMEM;
  job->account_queue = find_account_queue (dc, job->spec.account, job->queue);
  if (job->account_queue == DC_NONE)
    return DC_ENOMEM;
  job->sort_key = dc_queue_sort_key (dc, job);
  if (hp_push (&dc->queues.v[job->queue].jobs, &in_queue, id)
      || hp_push (&dc->account_queues.v[job->account_queue].jobs,
                  &in_account_queue, id))
    return DC_ENOMEM;
  dc->queued_jobs++;
  update_queue_order (dc, job->queue);
  dc_account_mark_dirty (dc, job->spec.account);
  return DC_OK;
}

void
dc_queue_remove (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct dc_queue *q = &dc->queues.v[job->queue];
  struct hp_order in_queue = { job_before, moved_in_queue, dc };
  struct hp_order in_account_queue
      = { job_before, moved_in_account_queue, dc };
  struct hp_order order = queue_heap_order (dc);

  if (q->jobs.n == 1 && q->position != DC_NONE)
    {
      hp_remove (&dc->queue_order, &order, q->position);
      q->position = DC_NONE;
    }
  hp_remove (&q->jobs, &in_queue, job->position[0]);
  hp_remove (&dc->account_queues.v[job->account_queue].jobs, &in_account_queue,
             job->position[1]);
  dc->queued_jobs--;
  update_queue_order (dc, job->queue);
}

/* Orders a job that waits for a worker on which it has not failed behind all
   jobs submitted so far, so that it does not block others of its shape.
   Returns whether its position changed.  */
bool
dc_queue_defer (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct hp_order in_queue = { job_before, moved_in_queue, dc };
  struct hp_order in_account_queue
      = { job_before, moved_in_account_queue, dc };
  int64_t retry_ms = job->queued_ms + dc_retry_delay (job);
  int64_t key = dc->now_ms + 1;

  if (job->spec.class == DC_BULK)
    key += dc_learn_queue_delay_ms (dc, job);
  if (job->failures == 0 || retry_ms <= dc->now_ms || job->sort_key >= key)
    return false;
  job->sort_key = key;
  hp_update (&dc->queues.v[job->queue].jobs, &in_queue, job->position[0]);
  hp_update (&dc->account_queues.v[job->account_queue].jobs, &in_account_queue,
             job->position[1]);
  update_queue_order (dc, job->queue);
  return true;
}

/* Blocks a queue whose first job does not fit now.  */
void
dc_queue_block (struct dc *dc, uint32_t id)
{
  struct dc_queue *q = &dc->queues.v[id];
  struct hp_order order = queue_heap_order (dc);

  if (DC_GROW (dc, dc->blocked, dc->blocked.n))
    return;
  dc->blocked.v[dc->blocked.n - 1] = id;
  q->blocked = true;
  hp_remove (&dc->queue_order, &order, q->position);
  q->position = DC_NONE;
}

/* Unblocks all queues.  Called when capacity was freed.  */
void
dc_queue_unblock_all (struct dc *dc)
{
  for (uint32_t i = 0; i < dc->blocked.n; i++)
    {
      dc->queues.v[dc->blocked.v[i]].blocked = false;
      update_queue_order (dc, dc->blocked.v[i]);
    }
  dc->blocked.n = 0;
}
