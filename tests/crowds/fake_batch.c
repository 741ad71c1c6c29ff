#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_batch.h"

enum
{
  RETRY_MS = 200,
  MAX_TRIES = 100 /* only bounds a hang */
};

#define HOST "crowd.example"
#define HEADERS "Host: " HOST "\r\nAuthorization: Bearer steady\r\n"

static void
on_start (void *arg, const struct sj_order *order, int worker,
          struct sf_work *work)
{
  (void)arg, (void)order, (void)worker;
  *work = (struct sf_work){ .known = 1, .work_ms = 100 };
}

static void
on_end (void *arg, const struct sj_run *run, int worker, enum sj_end how)
{
  (void)arg, (void)run, (void)worker, (void)how;
}

static void
on_acknowledged (void *arg, const struct sj_run *run, enum sj_end how,
                 int lease_expired)
{
  (void)arg, (void)run, (void)how, (void)lease_expired;
}

static void
on_lost (void *arg, const struct sj_run *run, int worker)
{
  (void)arg, (void)run, (void)worker;
}

static void
on_violation (void *arg, const char *text)
{
  (void)arg, (void)text;
}

static void
configure (struct sf_platform *platform)
{
  static char key[] = "steady", *keys[] = { key };
  struct qu_queue queue = { (char *)"desk",
                            (char *)HOST,
                            (char *)"/desk/",
                            (char *)"studio",
                            0,
                            3,
                            3,
                            2000,
                            0,
                            0 };
  struct qu_account account = { (char *)"a", keys, 1, 4 };
  struct qu_config config = { 1, 1, 1, &queue, &account };

  sf_configure (platform, &config);
}

static void
start (struct fb_batch *b)
{
  char arg[10][64], ip[SF_ADDRESS_SIZE];
  const char *argv[12] = { "skr-batch" };
  int n = 0;

  sf_store_ip (ip, 0);
  snprintf (arg[n++], sizeof *arg, "--vm=vm0");
  snprintf (arg[n++], sizeof *arg, "--listen=%s", b->callers);
  snprintf (arg[n++], sizeof *arg, "--ready-listen=%s", b->ready);
  snprintf (arg[n++], sizeof *arg, "--metrics-listen=%s", b->metrics);
  snprintf (arg[n++], sizeof *arg, "--relay-listen=%s", b->relay);
  snprintf (arg[n++], sizeof *arg, "--store=%s:%d", ip,
            sf_port (&b->platform));
  snprintf (arg[n++], sizeof *arg, "--max-connections=%d", FB_CONNECTIONS);
  snprintf (arg[n++], sizeof *arg, "--max-requests=%d", FB_REQUESTS);
  for (int i = 0; i < n; i++)
    argv[i + 1] = arg[i];
  cr_start (&b->process, argv);
}

void
fb_init (struct fb_batch *b)
{
  static const struct sf_observer observer
      = { NULL, on_start, on_end, on_acknowledged, on_lost, on_violation };

  memset (b, 0, sizeof *b);
  if (sf_init (&b->platform, 1, 1, 9, &observer))
    exit (EXIT_FAILURE);
  configure (&b->platform);
  cr_free_address (b->callers);
  cr_free_address (b->ready);
  cr_free_address (b->metrics);
  cr_free_address (b->relay);
  start (b);
  cr_await (&b->process, b->ready, sf_ready_path ());
}

int
fb_fini (struct fb_batch *b)
{
  int as_planned = cr_stop (&b->process);

  sf_fini (&b->platform);
  return as_planned;
}

int
fb_submit (struct fb_batch *b)
{
  char path[64];

  snprintf (path, sizeof path, "/desk/%016x", ++b->jobs);
  return cr_request (b->callers, "POST", path, HEADERS,
                     "{\"specification\":\"x\",\"steps\":[{\"count\":1,"
                     "\"cpu\":100,\"memory_request_mb\":1,"
                     "\"estimated_ms\":100}]}");
}

int
fb_await_accepted (struct fb_batch *b)
{
  int status = fb_submit (b);

  for (int n = 0; status != 200 && n < MAX_TRIES; n++)
    {
      usleep (RETRY_MS * 1000);
      status = fb_submit (b);
    }
  return status;
}

int
fb_ask_state (struct fb_batch *b)
{
  char path[64];

  snprintf (path, sizeof path, "/desk/%016x", b->jobs);
  return cr_request (b->callers, "GET", path, HEADERS, NULL);
}

int
fb_head (char *out, size_t size, const char *body)
{
  return snprintf (
      out, size,
      "POST /desk/00000000000000ff HTTP/1.1\r\n" HEADERS "%s\r\n\r\n", body);
}
