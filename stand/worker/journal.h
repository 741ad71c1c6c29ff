/* Execution journal: records every start and end of a call or task, so that a
   test can detect what ran twice.  */
#ifndef WORKER_JOURNAL_H
#define WORKER_JOURNAL_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

struct sw_journal
{
  GPtrArray *entries; /* of json_t, which the array owns */
  FILE *file;         /* NULL: memory only */
};

/* Initializes an empty journal.  Unless PATH is empty, one JSON line for each
   start and end is appended to that file, so that the journal survives a
   killed process.  Returns 0 or -1.  */
int sw_journal_init (struct sw_journal *journal, const char *path);
void sw_journal_fini (struct sw_journal *journal);
/* Adds "start" and "number" to ENTRY, whose reference the journal takes over.
   Returns the number.  */
unsigned sw_journal_start (struct sw_journal *journal, json_t *entry);
/* Adds "end" and "outcome" to the entry NUMBER.  */
void sw_journal_end (struct sw_journal *journal, unsigned number,
                     const char *outcome);
/* Returns copies of all entries as a new array.  */
json_t *sw_journal_list (const struct sw_journal *journal);

#endif
