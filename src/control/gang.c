#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/gang.h"

static struct wk_part *
find_or_add_part (struct wk_gang *g, uint32_t worker)
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
  g->phase_since_ms = now_ms;
  g->tasks = tasks;
  g->part = calloc ((size_t)tasks, sizeof *g->part);
  g->tasks_by_part = calloc ((size_t)tasks, sizeof *g->tasks_by_part);
  g->place = calloc ((size_t)tasks, sizeof *g->place);
  g->end_report = calloc ((size_t)tasks, 1);
  if (!g->part || !g->tasks_by_part || !g->place || !g->end_report)
    {
      wk_fini (g);
      return CT_ENOMEM;
    }
  memcpy (g->place, place, (size_t)tasks * sizeof *place);
  for (int t = 0; t < tasks; t++)
    find_or_add_part (g, place[t].worker)->tasks++;
  for (int i = 0; i < g->parts; i++)
    {
      g->part[i].first_task = n;
      for (int t = 0; t < tasks; t++)
        if (place[t].worker == g->part[i].worker)
          g->tasks_by_part[n++] = t;
    }
  return CT_OK;
}

void
wk_fini (struct wk_gang *g)
{
  free (g->part);
  free (g->tasks_by_part);
  free (g->place);
  free (g->end_report);
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
wk_next_order (struct wk_gang *g, struct wk_part *p, int64_t now_ms)
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
      /* The refusal of a repeat says nothing about the earlier hold.  */
      if (p->state == WK_NEW
          && (!p->orders_sent || (p->refused && !p->unanswered)))
        {
          p->state = WK_GONE; /* never sent, or refused */
          return WK_ORDER_NONE;
        }
      return WK_ORDER_STOP;
    }
  return WK_ORDER_NONE;
}

void
wk_note_order (struct wk_part *p)
{
  p->in_flight = 1;
  p->orders_sent++;
}

/* States only advance, so an outdated answer changes nothing.  */
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
  int64_t wait = WK_RETRY_MS << (p->orders_sent < 5 ? p->orders_sent : 5);

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
wk_note_answer (struct wk_gang *g, struct wk_part *p, enum wk_order order,
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
      if (now_ms - g->phase_since_ms >= WK_BUSY_LIMIT_MS)
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
    case WK_NO_ANSWER:
      p->unanswered |= order == WK_ORDER_HOLD;
      retry_later (p, now_ms);
      return;
    }
}

void
wk_part_listed (struct wk_part *p, enum wk_state state, int64_t now_ms)
{
  advance (p, state, now_ms);
}

void
wk_part_not_listed (struct wk_part *p, int64_t requested_ms)
{
  if (p->state != WK_NEW && !p->in_flight && requested_ms > p->confirmed_ms)
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
  g->phase_since_ms = now_ms;
  for (int i = 0; i < g->parts; i++)
    g->part[i].retry_ms = 0;
}

int
wk_all_in_state (const struct wk_gang *g, enum wk_state state)
{
  for (int i = 0; i < g->parts; i++)
    if (g->part[i].state != state)
      return 0;
  return 1;
}

int
wk_any_in_state (const struct wk_gang *g, enum wk_state state)
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
  return !wk_all_in_state (g, WK_HELD)
         && now_ms - g->phase_since_ms >= WK_HOLD_TIMEOUT_MS;
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
