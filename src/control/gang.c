#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/gang.h"

static struct wk_part *
part_of (struct wk_gang *g, uint32_t worker)
{
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].worker == worker)
      return &g->part[i];
  g->part[g->parts] = (struct wk_part){ .worker = worker };
  return &g->part[g->parts++];
}

int
wk_init (struct wk_gang *g, const char *job, int32_t attempt, int tasks,
         const struct dc_place *place, int64_t now_ms)
{
  int n = 0;

  memset (g, 0, sizeof *g);
  snprintf (g->job, CT_NAME, "%s", job);
  g->attempt = attempt;
  g->since_ms = now_ms;
  g->tasks = tasks;
  g->part = calloc ((size_t)tasks, sizeof *g->part);
  g->task = calloc ((size_t)tasks, sizeof *g->task);
  g->place = calloc ((size_t)tasks, sizeof *g->place);
  g->told = calloc ((size_t)tasks, 1);
  if (!g->part || !g->task || !g->place || !g->told)
    {
      wk_fini (g);
      return CT_ENOMEM;
    }
  memcpy (g->place, place, (size_t)tasks * sizeof *place);
  for (int t = 0; t < tasks; t++)
    part_of (g, place[t].worker)->tasks++;
  for (int i = 0; i < g->parts; i++)
    {
      g->part[i].first = n;
      for (int t = 0; t < tasks; t++)
        if (place[t].worker == g->part[i].worker)
          g->task[n++] = t;
    }
  return CT_OK;
}

void
wk_fini (struct wk_gang *g)
{
  free (g->part);
  free (g->task);
  free (g->place);
  free (g->told);
  memset (g, 0, sizeof *g);
}

struct wk_part *
wk_find_part (struct wk_gang *g, uint32_t worker)
{
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].worker == worker)
      return &g->part[i];
  return NULL;
}

static int
has_ended (enum wk_state state)
{
  return state >= WK_DONE && state <= WK_STOPPED;
}

enum wk_order
wk_next (struct wk_gang *g, struct wk_part *p, int64_t now_ms)
{
  if (p->in_flight || now_ms < p->retry_ms || p->state == WK_GONE)
    return WK_ORDER_NONE;
  if (has_ended (p->state))
    return g->may_ack ? WK_ORDER_ACK : WK_ORDER_NONE;
  switch (g->phase)
    {
    case WK_HOLD:
      return p->state == WK_NEW && !p->refused ? WK_ORDER_HOLD : WK_ORDER_NONE;
    case WK_RUN:
      return p->state == WK_HELD ? WK_ORDER_RUN : WK_ORDER_NONE;
    case WK_CHECKPOINT:
      return p->state == WK_HELD ? WK_ORDER_RUN : WK_ORDER_CHECKPOINT;
    case WK_STOP:
      if (p->state == WK_NEW && (!p->tries || p->refused))
        {
          p->state = WK_GONE; /* it never reached the worker */
          return WK_ORDER_NONE;
        }
      return WK_ORDER_STOP;
    }
  return WK_ORDER_NONE;
}

void
wk_sent (struct wk_part *p)
{
  p->in_flight = 1;
  p->tries++;
}

/* States only go forward; an old answer changes nothing.  */
static void
advance (struct wk_part *p, enum wk_state state, int64_t now_ms)
{
  if (p->state != WK_GONE && state > p->state)
    p->state = state;
  p->confirmed_ms = now_ms;
}

static void
retry_later (struct wk_part *p, int64_t now_ms)
{
  int64_t wait = WK_RETRY_MS << (p->tries < 5 ? p->tries : 5);

  p->retry_ms = now_ms + (wait < WK_RETRY_MAX_MS ? wait : WK_RETRY_MAX_MS);
}

static void
set_absent (struct wk_part *p, enum wk_order order)
{
  if (order == WK_ORDER_HOLD)
    p->refused = 1;
  else
    p->state = WK_GONE;
}

void
wk_answered (struct wk_gang *g, struct wk_part *p, enum wk_order order,
             enum wk_answer answer, enum wk_state state, int64_t now_ms)
{
  p->in_flight = 0;
  switch (answer)
    {
    case WK_OK:
      if (order == WK_ORDER_ACK)
        p->state = WK_GONE;
      else
        advance (p, state, now_ms);
      p->retry_ms = 0;
      if (order == WK_ORDER_CHECKPOINT || order == WK_ORDER_STOP)
        p->retry_ms = has_ended (p->state) ? 0 : now_ms + WK_RETRY_MAX_MS;
      return;
    case WK_BUSY:
      p->retry_ms = now_ms + WK_RETRY_MS;
      if (now_ms - g->since_ms >= WK_BUSY_MS)
        p->refused = 1;
      return;
    case WK_REFUSED:
      if (order == WK_ORDER_HOLD)
        p->refused = 1;
      retry_later (p, now_ms);
      return;
    case WK_ABSENT:
      set_absent (p, order);
      return;
    case WK_SILENT:
      retry_later (p, now_ms);
      return;
    }
}

void
wk_reported (struct wk_part *p, enum wk_state state, int64_t now_ms)
{
  advance (p, state, now_ms);
}

void
wk_not_reported (struct wk_part *p, int64_t asked_ms)
{
  if (p->state != WK_NEW && !p->in_flight && asked_ms > p->confirmed_ms)
    p->state = WK_GONE;
}

void
wk_worker_down (struct wk_gang *g, uint32_t worker)
{
  struct wk_part *p = wk_find_part (g, worker);

  if (p)
    p->state = WK_GONE;
}

void
wk_set_phase (struct wk_gang *g, enum wk_phase phase, int64_t now_ms)
{
  g->phase = phase;
  g->since_ms = now_ms;
  for (int i = 0; i < g->parts; i++)
    g->part[i].retry_ms = 0;
}

int
wk_all (const struct wk_gang *g, enum wk_state state)
{
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].state != state)
      return 0;
  return 1;
}

int
wk_any (const struct wk_gang *g, enum wk_state state)
{
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].state == state)
      return 1;
  return 0;
}

int
wk_hold_failed (const struct wk_gang *g, int64_t now_ms)
{
  if (g->phase != WK_HOLD)
    return 0;
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].refused || g->part[i].state > WK_HELD)
      return 1;
  return !wk_all (g, WK_HELD) && now_ms - g->since_ms >= WK_HOLD_MS;
}

enum wk_state
wk_parse_state (const char *text)
{
  static const char *const names[]
      = { "", "held", "running", "done", "failed", "checkpointed", "stopped" };

  for (int i = WK_HELD; text && i <= WK_STOPPED; i++)
    if (!strcmp (text, names[i]))
      return (enum wk_state)i;
  return WK_NEW;
}
