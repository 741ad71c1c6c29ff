/* Measures the processor time that the HTTP client's thread takes for one
   request, by the number of other requests in progress.  Each host has one
   long poll in progress, which ends after HOLD_MS and is sent again, as a
   scheduler does with its workers.  */
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/http.h"
#include "skr/serve.h"

enum
{
  HOLD_MS = 1500,
  MEASURED_MS = 4000,
  SENDERS = 4, /* short requests in progress */
  MAX_HOSTS = 4000,
  HOSTS_PER_NET = 250,
  URL_SIZE = 64,
  CONNECTIONS = 16000
};

/* A long poll that the server answers at END_MS.  */
struct held
{
  struct hs_exchange *ex;
  int64_t end_ms;
};

struct bench
{
  struct hc_client *client;
  struct hs_server *server;
  struct bs_clock clock;
  GAsyncQueue *held; /* in the order of their ends */
  int hosts, next_host;
  atomic_int stopping, short_requests, long_polls, lost;
  atomic_llong thread_ns;
};

struct call
{
  struct bench *b;
  int host;
  int is_long_poll;
};

static void
answer (struct hs_exchange *ex)
{
  struct hs_answer a = { .status = 200,
                         .content_type = "application/json",
                         .body = "{\"clock_ms\":1}" };

  hs_answer (ex, &a);
}

static void
handle (void *arg, struct hs_exchange *ex)
{
  struct bench *b = arg;
  struct held *h;

  if (strcmp (hs_get_request (ex)->path, "/hold") != 0)
    {
      answer (ex);
      return;
    }
  h = g_new (struct held, 1);
  h->ex = ex;
  h->end_ms = bs_now_ms (&b->clock) + HOLD_MS;
  g_async_queue_push (b->held, h);
}

/* Answers the long polls in time.  */
static gpointer
answer_held (gpointer arg)
{
  struct bench *b = arg;
  struct held *h;

  while ((h = g_async_queue_timeout_pop (b->held, 2 * HOLD_MS * 1000)))
    {
      int64_t wait_ms = h->end_ms - bs_now_ms (&b->clock);

      if (wait_ms > 0 && !atomic_load (&b->stopping))
        usleep ((useconds_t)wait_ms * 1000);
      answer (h->ex);
      g_free (h);
    }
  return NULL;
}

static void on_done (void *arg, const struct hc_answer *a);

static void
send_call (struct call *c)
{
  struct bench *b = c->b;
  char url[URL_SIZE];
  struct hc_request r = { .method = "POST",
                          .url = url,
                          .body = "{\"fencing_token\":1,\"last_seen\":1}",
                          .header = { "X-Instance: w1" },
                          .timeout_ms = 2 * HOLD_MS,
                          .done = on_done,
                          .arg = c };

  snprintf (url, sizeof url, "http://127.1.%d.%d:%d/%s",
            c->host / HOSTS_PER_NET, c->host % HOSTS_PER_NET + 1,
            hs_port (b->server), c->is_long_poll ? "hold" : "start");
  if (hc_submit (b->client, &r))
    g_free (c);
}

static void
on_done (void *arg, const struct hc_answer *a)
{
  struct call *c = arg;
  struct bench *b = c->b;
  struct timespec ts;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  atomic_store (&b->thread_ns, ts.tv_sec * 1000000000LL + ts.tv_nsec);
  if (a->outcome != HC_ANSWERED)
    atomic_fetch_add (&b->lost, 1);
  if (atomic_load (&b->stopping))
    {
      g_free (c);
      return;
    }
  atomic_fetch_add (c->is_long_poll ? &b->long_polls : &b->short_requests, 1);
  if (!c->is_long_poll)
    c->host = b->next_host++ % b->hosts;
  send_call (c);
}

static void
start_calls (struct bench *b, int count, int is_long_poll)
{
  for (int i = 0; i < count; i++)
    {
      struct call *c = g_new (struct call, 1);

      *c = (struct call){ b, i % b->hosts, is_long_poll };
      send_call (c);
    }
}

static void
measure (int hosts)
{
  struct bench b = { .hosts = hosts, .clock = bs_clock_system () };
  struct hs_config server = { .listen = "0.0.0.0:0",
                              .threads = 1,
                              .max_connections = CONNECTIONS,
                              .max_body = 4096,
                              .idle_s = 30,
                              .handle = handle,
                              .arg = &b };
  struct hc_config client
      = { .max_in_progress = 2 * MAX_HOSTS, .connections_per_host = 16 };
  GThread *answerer;
  int64_t ns;
  int calls;

  b.held = g_async_queue_new ();
  if (hs_new (&b.server, &server) || !(b.client = hc_new (&client)))
    {
      fprintf (stderr, "bench_http: cannot listen\n");
      exit (EXIT_FAILURE);
    }
  answerer = g_thread_new ("answers", answer_held, &b);
  start_calls (&b, hosts, 1);
  start_calls (&b, SENDERS, 0);
  usleep (2 * HOLD_MS * 1000);
  ns = atomic_load (&b.thread_ns);
  calls = atomic_load (&b.short_requests) + atomic_load (&b.long_polls);
  usleep (MEASURED_MS * 1000);
  ns = atomic_load (&b.thread_ns) - ns;
  calls
      = atomic_load (&b.short_requests) + atomic_load (&b.long_polls) - calls;
  printf ("%8d %10d %14.1f %8d\n", hosts, calls * 1000 / MEASURED_MS,
          (double)ns / 1000 / calls, atomic_load (&b.lost));
  atomic_store (&b.stopping, 1);
  g_thread_join (answerer);
  hc_free (b.client);
  hs_free (b.server);
  g_async_queue_unref (b.held);
}

int
main (void)
{
  struct rlimit files;

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  bs_init ();
  printf ("%8s %10s %14s %8s\n", "polls", "requests/s", "us a request",
          "lost");
  measure (48);
  measure (350);
  measure (1100);
  measure (3000);
  return 0;
}
