/* Blocking variants of the table's functions.  */
#include <pthread.h>
#include <stddef.h>

#include "skr/table.h"

struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int ended, error;
  json_t *data;
};

static void
waiter_init (struct waiter *w)
{
  *w = (struct waiter){ .error = TB_OK };
  pthread_mutex_init (&w->lock, NULL);
  pthread_cond_init (&w->cond, NULL);
}

static void
on_done (void *arg, int error, json_t *data)
{
  struct waiter *w = arg;

  pthread_mutex_lock (&w->lock);
  w->error = error;
  w->data = json_incref (data);
  w->ended = 1;
  pthread_cond_signal (&w->cond);
  pthread_mutex_unlock (&w->lock);
}

static int
wait_done (struct waiter *w, int submitted, json_t **data)
{
  if (submitted == TB_OK)
    {
      pthread_mutex_lock (&w->lock);
      while (!w->ended)
        pthread_cond_wait (&w->cond, &w->lock);
      pthread_mutex_unlock (&w->lock);
    }
  else
    w->error = submitted;
  pthread_cond_destroy (&w->cond);
  pthread_mutex_destroy (&w->lock);
  if (data)
    *data = w->data;
  else
    json_decref (w->data);
  return w->error;
}

int
tb_commit_wait (struct tb_client *tb, const struct tb_txn *txn, json_t **data)
{
  struct waiter w;

  waiter_init (&w);
  return wait_done (&w, tb_commit (tb, txn, on_done, &w), data);
}

int
tb_get_wait (struct tb_client *tb, const char *table, const char *key,
             json_t **data)
{
  struct waiter w;

  waiter_init (&w);
  return wait_done (&w, tb_get (tb, table, key, on_done, &w), data);
}
