#include <apr_pools.h>
#include <apr_thread_proc.h>

#include "skr/base.h"
#include "skr/crash.h"

static void *APR_THREAD_FUNC
thread_main (apr_thread_t *self, void *arg)
{
  struct bs_thread *t = arg;

  (void)self;
  cr_thread_begin (t->signal_stack);
  return t->run (t->arg);
}

int
bs_thread_start (struct bs_thread *t, void *(*run) (void *arg), void *arg)
{
  *t = (struct bs_thread){ .run = run, .arg = arg };
  if (apr_pool_create (&t->pool, NULL) != APR_SUCCESS)
    return BS_EOS;
  t->signal_stack = apr_palloc (t->pool, CR_STACK_SIZE);
  if (apr_thread_create (&t->thread, NULL, thread_main, t, t->pool)
      == APR_SUCCESS)
    return BS_OK;
  apr_pool_destroy (t->pool);
  t->thread = NULL;
  return BS_EOS;
}

void
bs_thread_join (struct bs_thread *t)
{
  apr_status_t status;

  if (!t->thread)
    return;
  apr_thread_join (&status, t->thread);
  apr_pool_destroy (t->pool);
  t->thread = NULL;
}
