#include <stdlib.h>

#include "journal.h"
#include "skr/base.h"

static void
entry_free (void *entry)
{
  json_decref (entry);
}

int
sw_journal_init (struct sw_journal *journal, const char *path)
{
  journal->entries = g_ptr_array_new_with_free_func (entry_free);
  journal->file = *path ? fopen (path, "a") : NULL;
  return *path && !journal->file ? -1 : 0;
}

void
sw_journal_fini (struct sw_journal *journal)
{
  g_ptr_array_free (journal->entries, TRUE);
  if (journal->file)
    fclose (journal->file);
}

static void
write_line (struct sw_journal *journal, const json_t *entry)
{
  char *line;

  if (!journal->file)
    return;
  line = json_dumps (entry, JSON_COMPACT);
  fprintf (journal->file, "%s\n", line ? line : "{}");
  fflush (journal->file);
  free (line);
}

unsigned
sw_journal_start (struct sw_journal *journal, json_t *entry)
{
  json_object_set_new (entry, "start", json_integer (bs_wall_ms ()));
  json_object_set_new (entry, "number",
                       json_integer ((json_int_t)journal->entries->len));
  g_ptr_array_add (journal->entries, entry);
  write_line (journal, entry);
  return journal->entries->len - 1;
}

void
sw_journal_end (struct sw_journal *journal, unsigned number,
                const char *outcome)
{
  json_t *entry = g_ptr_array_index (journal->entries, number);

  json_object_set_new (entry, "end", json_integer (bs_wall_ms ()));
  json_object_set_new (entry, "outcome", json_string (outcome));
  write_line (journal, entry);
}

json_t *
sw_journal_list (const struct sw_journal *journal)
{
  json_t *list = json_array ();

  for (guint i = 0; i < journal->entries->len; i++)
    json_array_append_new (
        list, json_copy (g_ptr_array_index (journal->entries, i)));
  return list;
}
