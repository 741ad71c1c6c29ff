#include "skr/timer.h"
#include "skr/base.h"

void
tm_init (struct tm_service *tm)
{
  tm->count = 0;
}

int
tm_subscribe (struct tm_service *tm, int64_t first_ms, int64_t period_ms,
              void (*fn) (void *arg, int64_t now_ms), void *arg)
{
  if (tm->count == TM_MAX_SUBSCRIBERS)
    return BS_EFULL;
  tm->sub[tm->count] = (struct tm_subscriber){ period_ms, first_ms, fn, arg };
  return tm->count++;
}

int
tm_run (struct tm_service *tm, int64_t now_ms)
{
  int64_t wait = TM_IDLE_MS;

  for (int i = 0; i < tm->count; i++)
    {
      struct tm_subscriber *s = &tm->sub[i];

      if (s->due_ms <= now_ms)
        {
          s->fn (s->arg, now_ms);
          s->due_ms += s->period_ms;
          if (s->due_ms <= now_ms)
            s->due_ms = now_ms + s->period_ms;
        }
      if (s->due_ms - now_ms < wait)
        wait = s->due_ms - now_ms;
    }
  return (int)wait;
}
