/* Execution journal: every start of a call or task, so that a test can count
   what ran twice.  */
#ifndef WORKER_JOURNAL_H
#define WORKER_JOURNAL_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

struct sw_journal
{
  GPtrArray *entries; /* json_t */
  FILE *file;         /* NULL: memory only */
};

/* PATH, when not empty, gets one JSON line for each start and end, which
   outlive a killed process.  Returns 0 or -1.  */
int sw_journal_init (struct sw_journal *journal, const char *path);
void sw_journal_fini (struct sw_journal *journal);
/* Takes over ENTRY, adds "start" and returns its number.  */
unsigned sw_journal_start (struct sw_journal *journal, json_t *entry);
/* Adds "end" and OUTCOME to entry NUMBER.  */
void sw_journal_end (struct sw_journal *journal, unsigned number,
                     const char *outcome);
/* All entries as an array.  */
json_t *sw_journal_list (const struct sw_journal *journal);

#endif
