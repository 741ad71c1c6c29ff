/* Periodic timers.  The service has no thread: its owner calls tm_run with the
   current time, so that tests can use a fake clock.  */
#ifndef SKR_TIMER_H
#define SKR_TIMER_H

#include <stdint.h>

enum
{
  TM_MAX_SUBSCRIBERS = 64,
  TM_IDLE_MS = 1000 /* longest wait that tm_run returns */
};

struct tm_subscriber
{
  int64_t period_ms, due_ms;
  void (*fn) (void *arg, int64_t now_ms);
  void *arg;
};

struct tm_service
{
  struct tm_subscriber sub[TM_MAX_SUBSCRIBERS];
  int count;
};

void tm_init (struct tm_service *tm);
/* Calls FN every PERIOD_MS, for the first time at FIRST_MS.  Returns a handle
   or BS_EFULL.  */
int tm_subscribe (struct tm_service *tm, int64_t first_ms, int64_t period_ms,
                  void (*fn) (void *arg, int64_t now_ms), void *arg);
/* Calls each subscriber that is due, once even if it is late by several
   periods.  Returns the milliseconds until the next one is due, at most
   TM_IDLE_MS.  */
int tm_run (struct tm_service *tm, int64_t now_ms);

#endif
