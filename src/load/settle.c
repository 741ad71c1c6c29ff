#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "load.h"

enum
{
  POLL_INTERVAL_MS = 100,
  QUERY_TIMEOUT_MS = 3000 /* of one state query */
};

static int
may_resubmit (const struct ld_request *r)
{
  return r->end == LD_NOT_RUN && r->resubmissions < r->ld->settings.again;
}

static int
is_open (const struct ld_request *r)
{
  return r->end == LD_UNKNOWN || r->end == LD_ACCEPTED || r->end == LD_OPEN
         || may_resubmit (r);
}

/* Returns whether ANSWER updates the end of R.  Status 404 for a call means
   that no VM ever claimed it.  An accepted job that is not found stays open
   and counts as lost.  */
static int
is_final (const struct ld_request *r, const struct hc_answer *answer)
{
  return r->is_submission || answer->status == 200 || answer->status == 504
         || (answer->status == 404 && !*r->job_id);
}

static void
on_state (void *arg, const struct hc_answer *answer)
{
  struct ld_request *r = arg;
  struct ld *ld = r->ld;

  pthread_mutex_lock (&ld->lock);
  if (answer->outcome == HC_ANSWERED && is_final (r, answer))
    ld_apply_answer (r, answer);
  else if (answer->outcome == HC_LOST && r->is_submission)
    r->end = LD_UNKNOWN;
  if (!is_open (r))
    r->ended_ms = ld_now_ms ();
  ld->pending_count--;
  pthread_cond_signal (&ld->ended);
  pthread_mutex_unlock (&ld->lock);
}

static int
query_state (struct ld_request *r, int round)
{
  struct ld *ld = r->ld;
  char url[256];
  struct hc_request request = {
    .method = "GET",
    .url = url,
    .header = { ld->accounts[r->account].authorization },
    .timeout_ms = QUERY_TIMEOUT_MS,
    .done = on_state,
    .arg = r,
  };

  snprintf (url, sizeof url, "http://%s/v1/%s/%s",
            ld->entries[(r->index + round) % ld->entry_count],
            r->is_job ? "jobs" : "calls", r->is_job ? r->job_id : r->key);
  return hc_submit (ld->client, &request);
}

/* Queries a call by its key and a job by its id.  The request itself is
   submitted again if its end is not stored, as for a repeatable call, if the
   job's id was never received, or after a refusal.  */
static int
poll_request (struct ld_request *r, int round)
{
  if (r->end == LD_NOT_RUN && ld_now_ms () < r->retry_at_ms)
    return HC_EFULL;
  r->is_submission
      = r->end == LD_NOT_RUN || (r->is_job ? !*r->job_id : r->repeatable);
  if (!r->is_submission)
    return query_state (r, round);
  r->resubmissions += r->end == LD_NOT_RUN;
  return ld_post (r, on_state,
                  (int)r->ld->settings.deadline_ms + LD_TIMEOUT_EXTRA_MS);
}

/* Polls every open request once.  Returns the number still open.  */
static int
poll_all (struct ld *ld, int round)
{
  int open = 0;

  pthread_mutex_lock (&ld->lock);
  for (int i = 0; i < ld->request_count; i++)
    if (is_open (&ld->requests[i])
        && poll_request (&ld->requests[i], round) == HC_OK)
      ld->pending_count++;
  while (ld->pending_count)
    pthread_cond_wait (&ld->ended, &ld->lock);
  for (int i = 0; i < ld->request_count; i++)
    open += is_open (&ld->requests[i]);
  pthread_mutex_unlock (&ld->lock);
  return open;
}

void
ld_poll_open (struct ld *ld)
{
  int64_t until = ld_now_ms () + ld->settings.settle_ms;

  for (int round = 1; poll_all (ld, round) && ld_now_ms () < until; round++)
    usleep (POLL_INTERVAL_MS * 1000);
}
