#include <gsl/gsl_randist.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "load.h"

static json_t *
make_payload (const struct ld_request *r)
{
  const struct ld_settings *s = &r->ld->settings;

  return json_pack ("{s:{s:I, s:s, s:s, s:I}, s:i}", "fake", "run_ms",
                    (json_int_t)(r->is_job ? s->job_run_ms : s->run_ms), "tag",
                    r->key, "account", r->ld->accounts[r->account].name,
                    "answer_bytes", (json_int_t)s->answer_bytes, "number",
                    r->index);
}

char *
ld_body (struct ld_request *r)
{
  const struct ld_settings *s = &r->ld->settings;
  json_t *payload = make_payload (r), *o;
  char *text = json_dumps (payload, JSON_COMPACT | JSON_SORT_KEYS);

  bs_digest (r->digest, text);
  free (text);
  if (r->is_job)
    o = json_pack ("{s:s, s:I, s:I, s:I, s:b, s:b, s:o}", "class",
                   s->job_urgent ? "urgent" : "bulk", "tasks",
                   (json_int_t)s->job_tasks, "per_task",
                   (json_int_t)s->job_per_task, "declared_ms",
                   (json_int_t)s->job_run_ms, "repeatable", r->repeatable,
                   "preemptible", 1, "payload", payload);
  else
    o = json_pack ("{s:s, s:b, s:I, s:o}", "kind", "check", "repeatable",
                   r->repeatable, "deadline_ms", (json_int_t)s->deadline_ms,
                   "payload", payload);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

static void
finish_request (struct ld_request *r)
{
  struct ld *ld = r->ld;

  r->ended_ms = ld_now_ms ();
  ld->pending_count--;
  pthread_cond_signal (&ld->ended);
}

static int submit (struct ld_request *r);

/* Sends the request with the same key to the next entry, as a client behind a
   load balancer would.  Call with the lock held.  */
static void
try_next_entry (struct ld_request *r)
{
  if (r->attempts < r->ld->settings.attempts && submit (r) == HC_OK)
    return;
  r->end = r->was_sent ? LD_UNKNOWN : LD_UNSENT;
  finish_request (r);
}

static void
on_answer (void *arg, const struct hc_answer *answer)
{
  struct ld_request *r = arg;

  pthread_mutex_lock (&r->ld->lock);
  switch (answer->outcome)
    {
    case HC_ANSWERED:
      r->was_sent = 1;
      ld_apply_answer (r, answer);
      finish_request (r);
      break;
    case HC_LOST:
      r->was_sent = 1;
      try_next_entry (r);
      break;
    case HC_NOT_SENT:
      try_next_entry (r);
      break;
    }
  pthread_mutex_unlock (&r->ld->lock);
}

int
ld_post (struct ld_request *r, hc_done *done, int timeout_ms)
{
  struct ld *ld = r->ld;
  int entry = (r->index + r->attempts) % ld->entry_count;
  char url[128], key[LD_KEY_SIZE + 32], attempt[48];
  char *body = ld_body (r);
  struct hc_request request = {
    .method = "POST",
    .url = url,
    .body = body,
    .header = { ld->accounts[r->account].authorization, key, attempt,
                "Content-Type: application/json" },
    .timeout_ms = timeout_ms,
    .done = done,
    .arg = r,
  };
  int error;

  snprintf (url, sizeof url, "http://%s/v1/%s", ld->entries[entry],
            r->is_job ? "jobs" : "calls");
  snprintf (key, sizeof key, "Idempotency-Key: %s", r->key);
  r->attempts++;
  snprintf (attempt, sizeof attempt, "Idempotency-Attempt: %d", r->attempts);
  error = hc_submit (ld->client, &request);
  free (body);
  return error;
}

static int
submit (struct ld_request *r)
{
  return ld_post (r, on_answer,
                  (int)r->ld->settings.deadline_ms + LD_TIMEOUT_EXTRA_MS);
}

static void
init_request (struct ld *ld, int index, int64_t due_ms)
{
  struct ld_request *r = &ld->requests[index];
  const struct ld_settings *s = &ld->settings;

  r->ld = ld;
  r->index = index;
  r->account = (int)gsl_rng_uniform_int (ld->rng, (unsigned)ld->account_count);
  r->is_job = gsl_rng_uniform (ld->rng) * 100 < (double)s->jobs_percent;
  r->repeatable
      = gsl_rng_uniform (ld->rng) * 100 < (double)s->repeatable_percent;
  snprintf (r->key, sizeof r->key, "%s-%lld-%d", s->prefix, (long long)s->seed,
            index);
  r->scheduled_ms = due_ms;
}

static void
sleep_until (int64_t due_ms)
{
  int64_t remaining_ms = due_ms - ld_now_ms ();

  if (remaining_ms > 0)
    usleep ((useconds_t)remaining_ms * 1000);
}

static void
wait_for_ends (struct ld *ld)
{
  pthread_mutex_lock (&ld->lock);
  while (ld->pending_count)
    pthread_cond_wait (&ld->ended, &ld->lock);
  pthread_mutex_unlock (&ld->lock);
}

void
ld_run (struct ld *ld)
{
  const struct ld_settings *s = &ld->settings;
  double at_ms = 0;

  ld->started_ms = ld_now_ms ();
  for (int i = 0; i < s->count; i++)
    {
      at_ms += gsl_ran_exponential (ld->rng, 1000.0 / (double)s->rate);
      if (at_ms > (double)s->max_ms)
        break;
      init_request (ld, i, ld->started_ms + (int64_t)at_ms);
      sleep_until (ld->requests[i].scheduled_ms);
      pthread_mutex_lock (&ld->lock);
      ld->request_count++;
      ld->pending_count++;
      if (submit (&ld->requests[i]) != HC_OK)
        try_next_entry (&ld->requests[i]);
      pthread_mutex_unlock (&ld->lock);
    }
  wait_for_ends (ld);
}
