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
is_open (const struct ld_request *r)
{
  return r->end == LD_UNKNOWN || r->end == LD_ACCEPTED || r->end == LD_OPEN;
}

static void
on_state (void *arg, const struct hc_answer *answer)
{
  struct ld_request *r = arg;
  struct ld *ld = r->ld;

  pthread_mutex_lock (&ld->lock);
  /* 404 for a call: no VM ever claimed it.  A job that was accepted and is
     gone stays open and counts as lost.  */
  if (answer->end == HC_ANSWERED
      && (answer->status == 200 || answer->status == 504
          || (answer->status == 404 && !*r->job)))
    ld_take (r, answer->status, answer->body);
  if (!is_open (r))
    r->ended_ms = ld_now_ms ();
  ld->pending--;
  pthread_cond_signal (&ld->ended);
  pthread_mutex_unlock (&ld->lock);
}

/* Asks about a call by its key, and about a job by its id; a job whose id
   never arrived is submitted again by its key.  */
static int
ask (struct ld_request *r, int round)
{
  struct ld *ld = r->ld;
  char url[256], key[LD_KEY + 32];
  int again = r->is_job && !*r->job;
  char *body = again ? ld_body (r) : NULL;
  struct hc_request request = {
    .method = again ? "POST" : "GET",
    .url = url,
    .body = body,
    .header = { ld->account[r->account].authorization, key },
    .timeout_ms = ASK_MS,
    .done = on_state,
    .arg = r,
  };
  int error;

  snprintf (key, sizeof key, "Idempotency-Key: %s", r->key);
  snprintf (url, sizeof url, "http://%s/v1/%s%s%s",
            ld->entry[(r->index + round) % ld->entries],
            r->is_job ? "jobs" : "calls", again ? "" : "/",
            again ? "" : (r->is_job ? r->job : r->key));
  error = hc_submit (ld->hc, &request);
  free (body);
  return error;
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
