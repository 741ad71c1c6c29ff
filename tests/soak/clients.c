/* Clients: they hand jobs in, ask for their states and cancel them, and
   check each answer.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  ATTEMPTS = 4,
  PAUSE_MS = 120,   /* at most, between two calls */
  READY_MS = 1000,  /* between two questions of readiness */
  READY_MISSES = 2, /* then no new connection goes there */
  HOP = 8,          /* one call of so many goes to another VM */
  MAX_OPEN = 40,    /* jobs; what the workers do in a few seconds */
  MAX_WAIT_S = 10   /* a longer Retry-After is no advice to wait */
};

/* A VM that takes new connections, or any.  */
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
connect_some (struct soak *s, struct so_connection *c, GRand *rand)
{
  if (c->fd >= 0 && g_rand_int_range (rand, 0, HOP) > 0)
    return;
  so_hang_up (c);
  c->vm = choose_vm (s, rand);
}

static void
path_of (char out[SO_URL], const struct bk_job *j)
{
  snprintf (out, SO_URL, "/%s/%s", j->job->queue, j->job->id);
}

/* Returns 1 once the attempt has settled the matter.  */
static int
note_submit (struct soak *s, struct bk_job *j, const struct so_exchange *x)
{
  int settled = 0;

  bk_lock (&s->book);
  if (x->end == SO_NOT_SENT)
    ;
  else if (x->end != SO_ANSWERED || x->status == 504)
    j->unanswered++;
  else if (x->status / 100 == 2)
    {
      j->accepted_ms = j->accepted ? j->accepted_ms : sf_now ();
      j->accepted++;
      settled = 1;
    }
  else if (x->status == 429 || x->status == 503)
    {
      atomic_fetch_add (&s->refused, 1);
      if (x->retry_after < 1 || x->retry_after > MAX_WAIT_S)
        bk_breach (&s->book, "a refusal of job %s has Retry-After %d",
                   j->job->id, x->retry_after);
    }
  else
    bk_breach (&s->book, "job %s was answered %d: %s", j->job->id, x->status,
               x->answer);
  bk_unlock (&s->book);
  return settled;
}

static void
submit (struct soak *s, struct so_connection *c, GRand *rand)
{
  struct bk_job *j = bk_new_job (&s->book, rand);
  struct so_exchange x = { .method = "POST", .key = SO_KEY };
  char path[SO_URL];
  int repeat = g_rand_int_range (rand, 0, 10) == 0;

  path_of (path, j);
  x.path = path;
  x.body = j->body;
  for (int i = 0; i < ATTEMPTS; i++)
    {
      connect_some (s, c, rand);
      so_exchange (s, c, &x);
      if (note_submit (s, j, &x) && !(repeat && i == 0))
        break;
      usleep ((useconds_t)g_rand_int_range (rand, 50, 400) * 1000);
    }
  bk_lock (&s->book);
  j->closed = 1;
  bk_unlock (&s->book);
}

static void
ask (struct soak *s, struct so_connection *c, struct bk_job *j)
{
  struct so_exchange x = { .method = "GET", .key = SO_KEY };
  char path[SO_URL], vm[16];
  int state;

  path_of (path, j);
  x.path = path;
  snprintf (vm, sizeof vm, "vm%d", c->vm);
  so_exchange (s, c, &x);
  if (x.end != SO_ANSWERED)
    return;
  state = sf_state_of (x.answer);
  if (x.status == 200 && state < 0)
    bk_breach (&s->book, "the state of job %s can't be read: %s", j->job->id,
               x.answer);
  else if (x.status == 200)
    bk_shown (&s->book, j, (enum sj_state)state);
  else if (x.status == 410)
    bk_denied (&s->book, j, x.sent_ms, vm);
  else if (x.status != 503 && x.status != 504 && x.status != 429)
    bk_breach (&s->book, "a question for job %s was answered %d", j->job->id,
               x.status);
}

static void
cancel (struct soak *s, struct so_connection *c, struct bk_job *j)
{
  struct so_exchange x = { .method = "DELETE", .key = SO_KEY };
  char path[SO_URL];

  path_of (path, j);
  x.path = path;
  bk_lock (&s->book);
  if (!j->cancel_sent_ms)
    j->cancel_sent_ms = sf_now ();
  bk_unlock (&s->book);
  so_exchange (s, c, &x);
  if (x.end != SO_ANSWERED || x.status / 100 != 2)
    return;
  bk_lock (&s->book);
  if (!j->cancelled_ms)
    j->cancelled_ms = sf_now ();
  bk_unlock (&s->book);
}

static void
act (struct soak *s, struct so_connection *c, GRand *rand)
{
  int what = g_rand_int_range (rand, 0, 100);
  struct bk_job *j = bk_some_job (&s->book, rand);

  connect_some (s, c, rand);
  if (what < 30 && !s->quiet && bk_open (&s->book) < MAX_OPEN)
    submit (s, c, rand);
  else if (what < 40)
    so_probe (s, c, rand);
  else if (what < 43 && j && !s->quiet)
    cancel (s, c, j);
  else if (j)
    ask (s, c, j);
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
      act (s, &c, rand);
      usleep ((useconds_t)g_rand_int_range (rand, 1, PAUSE_MS) * 1000);
    }
  so_hang_up (&c);
  g_rand_free (rand);
  return NULL;
}

static int
is_ready (struct hc_client *client, const struct soak *s, int n)
{
  char url[SO_URL], body[64];
  struct hc_request request
      = { .method = "GET", .url = url, .timeout_ms = READY_MS };
  struct hc_answer answer;

  snprintf (url, sizeof url, "http://127.0.%d.%d:%d%s", SO_READY_NET, n + 1,
            s->vm_port, sf_ready_path ());
  return !hc_call (client, &request, &answer, body, sizeof body)
         && answer.end == HC_ANSWERED && answer.status == 200;
}

void *
so_ready_run (void *arg)
{
  struct soak *s = arg;
  struct hc_config config = { .max_in_progress = 4,
                              .connections_per_host = 1,
                              .connect_timeout_ms = READY_MS };
  struct hc_client *client = hc_new (&config);

  while (!atomic_load (&s->stopping))
    {
      for (int n = 0; n < s->vms; n++)
        {
          int yes = is_ready (client, s, n);

          so_lock (s);
          s->vm[n].has_begun |= yes;
          s->vm[n].missed = yes ? 0 : s->vm[n].missed + 1;
          if (yes || s->vm[n].missed >= READY_MISSES)
            s->vm[n].ready = yes;
          so_unlock (s);
        }
      usleep (READY_MS * 1000);
    }
  hc_free (client);
  return NULL;
}
