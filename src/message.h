#ifndef GV_MESSAGE_H
#define GV_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "pack.h"
#include "str.h"

/* Messages between entry hosts. RESULT answers EXECUTE, LEDGER_RECORDS or
   LEDGER_SNAPSHOT answers LEDGER_GET, and SLOT_LEND answers SLOT_BORROW. */
typedef enum {
    GV_MSG_HELLO = 1,
    GV_MSG_HEARTBEAT,
    GV_MSG_EXECUTE,
    GV_MSG_RESULT,
    GV_MSG_CANCEL,
    GV_MSG_LEDGER_GET,
    GV_MSG_LEDGER_RECORDS,
    GV_MSG_LEDGER_SNAPSHOT,
    GV_MSG_SLOT_BORROW,
    GV_MSG_SLOT_LEND,
    GV_MSG_SLOT_RETURN
} gv_msg_kind_t;

typedef struct {
    gv_str_t entry; /* name of the entry host that sends it */
    gv_str_t dc;
    gv_str_t region;
    uint64_t incarnation; /* grows with each start of the entry host */
} gv_msg_hello_t;

/* Load of one service at the sender. */
typedef struct {
    gv_str_t service;
    int queued; /* requests waiting for a slot */
    int busy;   /* slots in use by the sender */
    int slots;  /* slots that the sender may use */
    int rate;   /* requests that arrived in the last second */
} gv_load_t;

/* State of a target of the sender's data centre, from the sender's own
   observation and not from other entry hosts. */
typedef struct {
    gv_str_t host;
    gv_str_t boot; /* boot id of the target */
    bool leaving;  /* was reported for this boot; stays set */
    bool healthy;
    uint64_t seen; /* number of the sender's last change; grows */
} gv_health_t;

typedef struct {
    uint64_t offset;       /* offset of the next log record to apply */
    uint64_t list_version; /* of the platform's host list */
    bool platform_ok;      /* last read of the platform's log succeeded */
    gv_load_t *loads;
    int n_loads;
    gv_health_t *health;
    int n_health;
} gv_msg_heartbeat_t;

typedef struct {
    gv_str_t service;
    gv_str_t method;
    gv_str_t path; /* with the query string */
    gv_str_t content_type;
    gv_str_t team;
    gv_str_t work;
    bool urgent;
    /* true: sent to the owner of ticket or key. false: spilled by an entry
       host that cannot start it soon; not to be forwarded again. */
    bool to_owner;
    gv_str_t ticket;
    gv_str_t key;
    gv_str_t body;
} gv_msg_execute_t;

typedef struct {
    uint64_t from; /* offset of the first record wanted */
} gv_msg_ledger_get_t;

typedef struct {
    uint64_t offset;
    int64_t append_ms; /* time at which the platform appended it */
    gv_str_t bytes;
} gv_raw_record_t;

typedef struct {
    gv_raw_record_t *records;
    int n_records;
} gv_msg_ledger_records_t;

typedef struct {
    gv_str_t host; /* whose slots are borrowed */
    int count;
    int lease_ms; /* duration of the loan; 0 in SLOT_RETURN */
} gv_msg_slots_t;

/* Strings and arrays of bytes are views of the received frame or of the
   sender's data. */
typedef struct {
    gv_msg_kind_t kind;
    uint64_t number;     /* of the request; its answer has the same */
    int64_t deadline_ms; /* time left until the deadline; 0: no deadline */
    union {
        gv_msg_hello_t hello;
        gv_msg_heartbeat_t heartbeat;
        gv_msg_execute_t execute;
        gv_answer_t result; /* its strings are views */
        gv_msg_ledger_get_t ledger_get;
        gv_msg_ledger_records_t ledger_records;
        gv_str_t ledger_snapshot; /* as written by GvLedger_Save */
        gv_msg_slots_t slots;     /* BORROW, LEND and RETURN */
    } u;
} gv_message_t;

/* Appends the frame body of m: version, kind, number, deadline, content. */
void GvMessage_Pack(msgpack_sbuffer *out, const gv_message_t *m);
/* Parses a frame body. Arrays in m are allocated; the caller releases them
   with GvMessage_Clear and then destroys un, also after an error. */
int GvMessage_Unpack(gv_str_t frame, msgpack_unpacked *un, gv_message_t *m);
void GvMessage_Clear(gv_message_t *m);

#endif
