#define G_LOG_DOMAIN "skr"
#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/log.h"

enum
{
  MAX_FIELDS = 16,  /* of an event */
  LINE_SIZE = 1024, /* bytes */
  FIRST_BEYOND_ASCII = 128
};

enum output
{
  OUT_PLAIN,
  OUT_JSON,
  OUT_JOURNALD
};

static const char *log_program = "skr";
static enum output log_output = OUT_PLAIN;
static int to_stdout;
/* Atomic, since a reload changes them while other threads log.  */
static atomic_int log_level = LG_INFO, log_rate;
static atomic_llong second_started_ms;

enum
{
  SECOND_MS = 1000,
  MAX_EVENTS = 160, /* in the catalogue */
  /* Lines above the level of information are changes of state and refusals.
     Their limit only bounds what a fault may write.  */
  IMPORTANT_FACTOR = 10
};

/* Lines of each event in this second, and those dropped.  Each event has a
   limit of its own, so that a flood of one does not hide the others.  */
static atomic_int lines[MAX_EVENTS], lines_dropped[MAX_EVENTS];
/* Lines that the output did not accept.  */
static atomic_int lines_not_written;

static GLogLevelFlags
glib_level (enum lg_level level)
{
  switch (level)
    {
    case LG_ERROR:
      return G_LOG_LEVEL_CRITICAL;
    case LG_WARNING:
      return G_LOG_LEVEL_WARNING;
    case LG_NOTICE:
      return G_LOG_LEVEL_MESSAGE;
    case LG_INFO:
      return G_LOG_LEVEL_INFO;
    case LG_DEBUG:
      return G_LOG_LEVEL_DEBUG;
    }
  return G_LOG_LEVEL_MESSAGE;
}

/* Writes LINE to standard output, or drops and counts it when the output is
   not writable.  A pipe that poll reports as writable accepts a whole buffer,
   so that the write does not block.  */
static void
write_or_drop (const char *line)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  char *text = g_strconcat (line, "\n", NULL);

  if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT)
      || write (STDOUT_FILENO, text, strlen (text)) < 0)
    atomic_fetch_add (&lines_not_written, 1);
  g_free (text);
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer arg)
{
  (void)arg;
  if (log_output == OUT_JOURNALD)
    return g_log_writer_journald (level, fields, count, NULL);
  for (gsize i = 0; i < count; i++)
    if (!strcmp (fields[i].key, "MESSAGE") && to_stdout)
      write_or_drop (fields[i].value);
    else if (!strcmp (fields[i].key, "MESSAGE"))
      fprintf (stderr, "%s\n", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

int
lg_init (const char *program, const char *output, enum lg_level level)
{
  log_program = program;
  atomic_store (&log_level, (int)level);
  if (!strcmp (output, "plain"))
    log_output = OUT_PLAIN;
  else if (!strcmp (output, "json"))
    log_output = OUT_JSON;
  else if (!strcmp (output, "journald"))
    log_output = OUT_JOURNALD;
  else
    return BS_EINVAL;
  g_log_set_writer_func (write_line, NULL, NULL);
  return BS_OK;
}

static const struct lg_entry *
find_entry (enum lg_event id)
{
  const struct lg_entry *entry = lg_catalogue;

  while (entry->name && entry->id != id)
    entry++;
  return entry;
}

/* TEXT with quotes, backslashes and controls escaped, and all bytes beyond
   ASCII too if it is not UTF-8.  */
static char *
escape (const char *text)
{
  char beyond_ascii[FIRST_BEYOND_ASCII + 1];

  if (!g_utf8_validate (text, -1, NULL))
    return g_strescape (text, NULL);
  for (int i = 0; i < FIRST_BEYOND_ASCII; i++)
    beyond_ascii[i] = (char)(FIRST_BEYOND_ASCII + i);
  beyond_ascii[FIRST_BEYOND_ASCII] = '\0';
  return g_strescape (text, beyond_ascii);
}

static void
add_plain_text (GString *s, const struct lg_field *f)
{
  char *text = escape (f->text);

  g_string_append_printf (s, " %s=\"%s\"", f->name, text);
  g_free (text);
}

static json_t *
json_text (const char *text)
{
  json_t *value = json_string (text);
  char *escaped;

  if (value)
    return value;
  escaped = escape (text);
  value = json_string (escaped);
  g_free (escaped);
  return value;
}

static char *
format_plain_line (const struct lg_entry *entry, int count,
                   const struct lg_field *f)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s, "%lld %s %d %s", (long long)bs_wall_ms (), log_program,
                   (int)entry->id, entry->name ? entry->name : "?");
  for (int i = 0; i < count; i++)
    if (f[i].text)
      add_plain_text (s, &f[i]);
    else
      g_string_append_printf (s, " %s=%lld", f[i].name,
                              (long long)f[i].number);
  return g_string_free (s, FALSE);
}

static char *
format_json_line (const struct lg_entry *entry, int count,
                  const struct lg_field *f)
{
  json_t *o = json_object ();
  char *dump, *line;

  json_object_set_new (o, "at", json_integer (bs_wall_ms ()));
  json_object_set_new (o, "program", json_string (log_program));
  json_object_set_new (o, "event", json_integer (entry->id));
  json_object_set_new (o, "name",
                       json_string (entry->name ? entry->name : "?"));
  for (int i = 0; i < count; i++)
    json_object_set_new (o, f[i].name,
                         f[i].text ? json_text (f[i].text)
                                   : json_integer (f[i].number));
  dump = json_dumps (o, JSON_COMPACT);
  line = g_strdup (dump ? dump : "{}");
  free (dump);
  json_decref (o);
  return line;
}

void
lg_to_stdout (void)
{
  to_stdout = 1;
}

void
lg_tune (enum lg_level level, int rate)
{
  atomic_store (&log_level, (int)level);
  atomic_store (&log_rate, rate);
}

static void
log_dropped (const char *event, atomic_int *count)
{
  struct lg_field f[]
      = { lg_str ("of", event), lg_int ("lines", atomic_exchange (count, 0)) };

  if (f[1].number)
    lg_log (LG_LINES_DROPPED, 2, f);
}

/* Logs the numbers of dropped lines when a new second starts.  */
static void
start_second (void)
{
  const struct bs_clock clock = bs_clock_system ();
  long long now_ms = bs_now_ms (&clock),
            started_ms = atomic_load (&second_started_ms);

  if (now_ms - started_ms < SECOND_MS
      || !atomic_compare_exchange_strong (&second_started_ms, &started_ms,
                                          now_ms))
    return;
  for (int i = 0; i < MAX_EVENTS && lg_catalogue[i].name; i++)
    {
      atomic_store (&lines[i], 0);
      log_dropped (lg_catalogue[i].name, &lines_dropped[i]);
    }
  log_dropped ("output", &lines_not_written);
}

/* Whether the limit of its event allows another line of ENTRY.  */
static int
is_within_rate (const struct lg_entry *entry)
{
  long i = entry - lg_catalogue;
  int limit = atomic_load (&log_rate);

  if (!limit || entry->id == LG_LINES_DROPPED || i >= MAX_EVENTS)
    return 1;
  start_second ();
  if (entry->level < LG_INFO)
    limit *= IMPORTANT_FACTOR;
  if (atomic_fetch_add (&lines[i], 1) < limit)
    return 1;
  atomic_fetch_add (&lines_dropped[i], 1);
  return 0;
}

void
lg_log (enum lg_event id, int count, const struct lg_field *fields)
{
  const struct lg_entry *entry = find_entry (id);
  char number[16], value[MAX_FIELDS][32];
  GLogField out[MAX_FIELDS + 2];
  char *line;

  if (entry->name && (int)entry->level > atomic_load (&log_level))
    return;
  if (!is_within_rate (entry))
    return;
  if (count > MAX_FIELDS)
    count = MAX_FIELDS;
  line = log_output == OUT_JSON ? format_json_line (entry, count, fields)
                                : format_plain_line (entry, count, fields);
  snprintf (number, sizeof number, "%d", (int)id);
  out[0] = (GLogField){ "MESSAGE", line, -1 };
  out[1] = (GLogField){ "SKR_EVENT", number, -1 };
  for (int i = 0; i < count; i++)
    {
      snprintf (value[i], sizeof value[i], "%lld",
                (long long)fields[i].number);
      out[i + 2]
          = (GLogField){ fields[i].name,
                         fields[i].text ? fields[i].text : value[i], -1 };
    }
  g_log_structured_array (glib_level (entry->level), out, (gsize)count + 2);
  g_free (line);
}
