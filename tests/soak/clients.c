/* Clients, which submit, query and cancel jobs and check each answer.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  MAX_ATTEMPTS = 4,
  MAX_ATTEMPTS_AT_START = 100, /* while no VM may be ready */
  MAX_PAUSE_MS = 120,          /* between two calls */
  READY_INTERVAL_MS = 1000,    /* between two readiness probes */
  READY_MISSES = 2,            /* then the VM gets no new connections */
  VM_CHANGE_INTERVAL = 8, /* calls, on average, until another VM is chosen */
  MAX_OPEN_JOBS = 40,     /* the workers finish as many in a few seconds */
  MAX_RETRY_AFTER_S = 10  /* longest acceptable Retry-After */
};

/* Returns a random ready VM, or any VM if none is ready.  */
static int
choose_vm (struct soak *s, GRand *rand)
{
  int ready[SF_MAX_VMS], n = 0;

  so_lock (s);
  for (int i = 0; i < s->vms; i++)
    if (s->vm[i].ready)
      ready[n++] = i;
  so_unlock (s);
  return n ? ready[g_rand_int_range (rand, 0, n)]
           : g_rand_int_range (rand, 0, (gint32)s->vms);
}

static void
select_connection (struct soak *s, struct so_connection *c, GRand *rand)
{
  if (c->fd >= 0 && g_rand_int_range (rand, 0, VM_CHANGE_INTERVAL) > 0)
    return;
  so_disconnect (c);
  c->vm = choose_vm (s, rand);
}

static void
format_path (char out[SO_URL_SIZE], const struct bk_job *j)
{
  snprintf (out, SO_URL_SIZE, "/%s/%s", j->job->queue, j->job->id);
}

/* Records the result of a submit attempt.  Returns 1 if it was accepted.  */
static int
record_submit_result (struct soak *s, struct bk_job *j,
                      const struct so_exchange *x)
{
  int settled = 0;

  bk_lock (&s->model);
  if (x->end == SO_NOT_SENT)
    ;
  else if (x->end != SO_ANSWERED || x->status == 504)
    j->unanswered_submits++;
  else if (x->status / 100 == 2)
    {
      j->accepted_ms = j->accepted_submits ? j->accepted_ms : sf_now_ms ();
      j->accepted_submits++;
      settled = 1;
    }
  /* Cancelled by a client that had no certain answer before.  */
  else if (x->status == 410 && j->cancel_sent_ms && !j->accepted_submits)
    settled = 1;
  else if (x->status == 429 || x->status == 503)
    {
      atomic_fetch_add (&s->refused, 1);
      if (x->retry_after < 1 || x->retry_after > MAX_RETRY_AFTER_S)
        bk_report_violation (&s->model,
                             "a refusal of job %s has Retry-After %d",
                             j->job->id, x->retry_after);
    }
  else
    bk_report_violation (&s->model, "job %s was answered %d: %s", j->job->id,
                         x->status, x->answer);
  bk_unlock (&s->model);
  return settled;
}

/* Submits J in up to ATTEMPTS calls.  */
static void
submit (struct soak *s, struct so_connection *c, GRand *rand, struct bk_job *j,
        int attempts)
{
  struct so_exchange x = { .method = "POST", .key = SO_PERMANENT_KEY };
  char path[SO_URL_SIZE];
  int repeat = g_rand_int_range (rand, 0, 10) == 0;

  format_path (path, j);
  x.path = path;
  x.body = j->body;
  for (int i = 0; i < attempts; i++)
    {
      select_connection (s, c, rand);
      so_exchange (s, c, &x);
      if (record_submit_result (s, j, &x) && !(repeat && i == 0))
        break;
      usleep ((useconds_t)g_rand_int_range (rand, 50, 400) * 1000);
    }
  bk_lock (&s->model);
  j->submit_finished = 1;
  bk_unlock (&s->model);
}

void
so_submit (struct soak *s, struct bk_job *j)
{
  struct so_connection c = { .fd = -1 };
  GRand *rand = g_rand_new_with_seed ((guint32)s->seed);

  submit (s, &c, rand, j, MAX_ATTEMPTS_AT_START);
  so_disconnect (&c);
  g_rand_free (rand);
}

static void
query_state (struct soak *s, struct so_connection *c, struct bk_job *j)
{
  struct so_exchange x = { .method = "GET", .key = SO_PERMANENT_KEY };
  char path[SO_URL_SIZE], vm[16];
  int state;

  format_path (path, j);
  x.path = path;
  snprintf (vm, sizeof vm, "vm%d", c->vm);
  so_exchange (s, c, &x);
  if (x.end != SO_ANSWERED)
    return;
  state = sf_parse_state (x.answer);
  if (x.status == 200 && state < 0)
    bk_report_violation (&s->model, "the state of job %s cannot be parsed: %s",
                         j->job->id, x.answer);
  else if (x.status == 200)
    bk_check_state (&s->model, j, (enum sj_state)state);
  else if (x.status == 410)
    bk_check_not_found (&s->model, j, x.sent_ms, vm);
  else if (x.status != 503 && x.status != 504 && x.status != 429)
    bk_report_violation (&s->model, "a query for job %s was answered %d",
                         j->job->id, x.status);
}

static void
cancel (struct soak *s, struct so_connection *c, struct bk_job *j)
{
  struct so_exchange x = { .method = "DELETE", .key = SO_PERMANENT_KEY };
  char path[SO_URL_SIZE];

  format_path (path, j);
  x.path = path;
  bk_lock (&s->model);
  if (!j->cancel_sent_ms)
    j->cancel_sent_ms = sf_now_ms ();
  bk_unlock (&s->model);
  so_exchange (s, c, &x);
  /* 410 promises that the job is not run, too.  */
  if (x.end != SO_ANSWERED || (x.status / 100 != 2 && x.status != 410))
    return;
  bk_lock (&s->model);
  if (!j->cancelled_ms)
    j->cancelled_ms = sf_now_ms ();
  bk_unlock (&s->model);
}

static void
run_random_action (struct soak *s, struct so_connection *c, GRand *rand)
{
  int what = g_rand_int_range (rand, 0, 100);
  struct bk_job *j = bk_pick_job (&s->model, rand);

  select_connection (s, c, rand);
  if (what < 30 && !s->no_new_work
      && bk_count_open (&s->model) < MAX_OPEN_JOBS)
    submit (s, c, rand, bk_add_random_job (&s->model, rand), MAX_ATTEMPTS);
  else if (what < 40)
    so_check_config (s, c, rand);
  else if (what < 43 && j && !s->no_new_work)
    cancel (s, c, j);
  else if (j)
    query_state (s, c, j);
}

void *
so_client_run (void *arg)
{
  struct so_client *client = arg;
  struct soak *s = client->soak;
  struct so_connection c = { .fd = -1 };
  GRand *rand = g_rand_new_with_seed (client->seed);

  while (!atomic_load (&s->stopping))
    {
      run_random_action (s, &c, rand);
      usleep ((useconds_t)g_rand_int_range (rand, 1, MAX_PAUSE_MS) * 1000);
    }
  so_disconnect (&c);
  g_rand_free (rand);
  return NULL;
}

static int
is_ready (struct hc_client *client, const struct soak *s, int n)
{
  char url[SO_URL_SIZE], body[64];
  struct hc_request request
      = { .method = "GET", .url = url, .timeout_ms = READY_INTERVAL_MS };
  struct hc_answer answer;

  snprintf (url, sizeof url, "http://127.0.%d.%d:%d%s", SO_READY_NET, n + 1,
            s->vm_port, sf_ready_path ());
  return !hc_call (client, &request, &answer, body, sizeof body)
         && answer.outcome == HC_ANSWERED && answer.status == 200;
}

void *
so_poll_readiness (void *arg)
{
  struct soak *s = arg;
  struct hc_config config = { .max_in_progress = 4,
                              .connections_per_host = 1,
                              .connect_timeout_ms = READY_INTERVAL_MS };
  struct hc_client *client = hc_new (&config);

  while (!atomic_load (&s->stopping))
    {
      for (int n = 0; n < s->vms; n++)
        {
          int yes = is_ready (client, s, n);

          so_lock (s);
          s->vm[n].has_been_ready |= yes;
          s->vm[n].missed_probes = yes ? 0 : s->vm[n].missed_probes + 1;
          if (yes || s->vm[n].missed_probes >= READY_MISSES)
            s->vm[n].ready = yes;
          so_unlock (s);
        }
      usleep (READY_INTERVAL_MS * 1000);
    }
  hc_free (client);
  return NULL;
}
