/* The numbers of log events.  A number is never given a new meaning.
   100 base, 200 decide, 300 net, 400 table, 500 control, 600 filter,
   700 programs.  */
#ifndef SKR_EVENTS_H
#define SKR_EVENTS_H

enum lg_event
{
  /* base */
  LG_STARTED = 101,
  LG_STOPPING = 102,
  LG_STOPPED = 103,

  /* net */
  LG_LISTEN_FAILED = 301,

  /* table */
  LG_TABLE_DOWN = 401,
  LG_TABLE_BACK = 402,

  /* control */
  LG_CELL_TAKEN = 501,
  LG_CELL_LOST = 502,
  LG_CELL_RELEASED = 503,
  LG_CELL_RECOVERED = 504,
  LG_CELL_LAPSED = 505,
  LG_WORKER_UP = 506,
  LG_WORKER_LEAVING = 507,
  LG_WORKER_DOWN = 508,
  LG_WORKER_QUARANTINED = 509,
  LG_WORKER_READMITTED = 510,
  LG_DECIDE_FAILED = 511,
  LG_GUARANTEE_REFUSED = 512,
  LG_PEER_KEYS = 513,
  LG_CONFIG_APPLIED = 514,
  LG_JOB_ROW_BAD = 515,
  LG_JOB_MOVED = 516,
  LG_JOB_NO_ROOM = 517,
  LG_TABLE_PUT_BACK = 518,
  LG_GUARANTEE_WAITS = 519,

  /* filter */
  LG_REQUEST_UNKNOWN = 601,
  LG_FAULT_POINT = 602,

  /* programs */
  LG_BAD_KEY = 701
};

#endif
