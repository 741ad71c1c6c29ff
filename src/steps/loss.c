/* Runs that end without an end being listed, because their worker is lost.  */
#include "steps/state.h"

const char *
sj_loss_name (enum sj_loss loss)
{
  switch (loss)
    {
    case SJ_LOSS_CRASH:
      return "crash";
    case SJ_LOSS_EXPIRED:
      return "expired";
    case SJ_LOSS_LEFT:
      return "left";
    }
  return "";
}

static int
count_neighbours (const struct member *m)
{
  const GPtrArray *all = m->worker->members;
  int n = 0;

  for (guint i = 0; i < all->len; i++)
    n += ((const struct member *)g_ptr_array_index (all, i))->unit != m->unit;
  return n;
}

void
lo_note_run (struct sj_cluster *c, const struct member *m, enum sj_loss loss)
{
  struct sj_note note = { .kind = SJ_NOTE_RUN_LOST, .worker = m->worker->id };

  if (!c->on_note || m->state == MB_PLANNED)
    return;
  ru_fill (&note.u.lost.run, m);
  note.u.lost.loss = loss;
  note.u.lost.neighbours = count_neighbours (m);
  c->on_note (c->note_arg, &note);
}
