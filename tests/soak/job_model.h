/* What clients have asked for and what workers have done with it, and the
   promises that follow.  Every breach is printed and counted.  */
#ifndef SOAK_BOOK_H
#define SOAK_BOOK_H

#include <glib.h>

#include "platform/stand/farm.h"

enum
{
  BK_MAX_STEPS = 3,
  BK_MAX_COUNT = 8,
  BK_CANCEL_MS = 10000, /* after its acknowledgement nothing starts */
  BK_VISIBLE_MS = 3000  /* after acceptance every VM knows the job */
};

struct bk_task
{
  int runs;   /* on workers that are up */
  int done;   /* ends */
  int noted;  /* an end "done" was let go */
  int failed; /* ends */
  int failed_noted;
  int64_t last; /* highest number of a run */
};

struct bk_job
{
  struct sj_job *job;
  char *body;
  int64_t work_ms[BK_MAX_STEPS];
  int fails;                /* all its tasks */
  int accepted, unanswered; /* attempts to hand it in */
  int closed;               /* no attempt will follow */
  int64_t accepted_ms, cancel_sent_ms, cancelled_ms;
  int starts, ended;
  struct bk_task task[BK_MAX_STEPS][BK_MAX_COUNT];
};

struct bk_book
{
  pthread_mutex_t lock;
  GPtrArray *jobs; /* bk_job */
  GHashTable *by_id;
  int breaches;
  int64_t begun_ms;
  uint64_t seed;
};

void bk_init (struct bk_book *book, uint64_t seed);
void bk_fini (struct bk_book *book);
void bk_watch (struct bk_book *book, struct sf_watch *out);
/* Printf-like; counts a breach.  */
void bk_breach (struct bk_book *book, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* A job of chance; the book keeps it.  */
struct bk_job *bk_new_job (struct bk_book *book, GRand *rand);
/* A job that was handed in, or NULL.  */
struct bk_job *bk_some_job (struct bk_book *book, GRand *rand);
void bk_lock (struct bk_book *book);
void bk_unlock (struct bk_book *book);
/* A VM showed STATE to a question sent at SENT_MS.  */
void bk_shown (struct bk_book *book, struct bk_job *j, enum sj_state state);
/* A VM said that there is no such job.  */
void bk_denied (struct bk_book *book, struct bk_job *j, int64_t sent_ms,
                const char *vm);
/* Jobs that must still end.  */
int bk_open (struct bk_book *book);
/* What must hold once all is quiet.  */
void bk_check_end (struct bk_book *book);

#endif
