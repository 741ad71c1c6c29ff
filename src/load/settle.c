#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "load.h"

enum
{
  PAUSE_MS = 100,
  ASK_MS = 3000 /* timeout of one question */
};

static int
may_ask_again (const struct ld_request *r)
{
  return r->end == LD_NOT_RUN && r->again < r->ld->settings.again;
}

static int
is_open (const struct ld_request *r)
{
  return r->end == LD_UNKNOWN || r->end == LD_ACCEPTED || r->end == LD_OPEN
         || may_ask_again (r);
}

/* 404 for a call: no VM ever claimed it.  A job that was accepted and is gone
   stays open and counts as lost.  */
static int
is_final (const struct ld_request *r, const struct hc_answer *answer)
{
  return r->posted || answer->status == 200 || answer->status == 504
         || (answer->status == 404 && !*r->job);
}

static void
on_state (void *arg, const struct hc_answer *answer)
{
  struct ld_request *r = arg;
  struct ld *ld = r->ld;

  pthread_mutex_lock (&ld->lock);
  if (answer->end == HC_ANSWERED && is_final (r, answer))
    ld_take (r, answer);
  else if (answer->end == HC_LOST && r->posted)
    r->end = LD_UNKNOWN;
  if (!is_open (r))
    r->ended_ms = ld_now_ms ();
  ld->pending--;
  pthread_cond_signal (&ld->ended);
  pthread_mutex_unlock (&ld->lock);
}

static int
get (struct ld_request *r, int round)
{
  struct ld *ld = r->ld;
  char url[256];
  struct hc_request request = {
    .method = "GET",
    .url = url,
    .header = { ld->account[r->account].authorization },
    .timeout_ms = ASK_MS,
    .done = on_state,
    .arg = r,
  };

  snprintf (url, sizeof url, "http://%s/v1/%s/%s",
            ld->entry[(r->index + round) % ld->entries],
            r->is_job ? "jobs" : "calls", r->is_job ? r->job : r->key);
  return hc_submit (ld->hc, &request);
}

/* Asks about a call by its key, and about a job by its id.  The request
   itself is sent again when its end is not kept anywhere, as for a call that
   may be repeated, when a job's id never arrived, and after a refusal.  */
static int
ask (struct ld_request *r, int round)
{
  if (r->end == LD_NOT_RUN && ld_now_ms () < r->retry_ms)
    return HC_EFULL;
  r->posted = r->end == LD_NOT_RUN || (r->is_job ? !*r->job : r->repeatable);
  if (!r->posted)
    return get (r, round);
  r->again += r->end == LD_NOT_RUN;
  return ld_post (r, on_state,
                  (int)r->ld->settings.deadline_ms + LD_TIMEOUT_EXTRA_MS);
}

/* Asks once about every open request; returns how many are still open.  */
static int
ask_all (struct ld *ld, int round)
{
  int open = 0;

  pthread_mutex_lock (&ld->lock);
  for (int i = 0; i < ld->requests; i++)
    if (is_open (&ld->request[i]) && ask (&ld->request[i], round) == HC_OK)
      ld->pending++;
  while (ld->pending)
    pthread_cond_wait (&ld->ended, &ld->lock);
  for (int i = 0; i < ld->requests; i++)
    open += is_open (&ld->request[i]);
  pthread_mutex_unlock (&ld->lock);
  return open;
}

void
ld_settle (struct ld *ld)
{
  int64_t until = ld_now_ms () + ld->settings.settle_ms;

  for (int round = 1; ask_all (ld, round) && ld_now_ms () < until; round++)
    usleep (PAUSE_MS * 1000);
}
