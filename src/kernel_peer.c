#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "error.h"
#include "forward.h"
#include "kernel_private.h"
#include "ledgersync.h"
#include "lending.h"
#include "maintain.h"
#include "prober.h"

/* A change of health goes into two heartbeats in a row. What a lost one left
   out is repaired by later ones: targets that must get no work are repeated
   often; all others, which are most of the bytes, less often. */
#define BAD_HEALTH_BEATS 10
#define ALL_HEALTH_BEATS 60

/* Other data centres use only the load, for spill, and get a heartbeat every
   so many beats. So does the own data centre while nothing changes. */
#define SLOW_BEATS 2

/* Answers a peer's request while the parts that would run it do not exist
   yet, so that the peer can place it elsewhere at once. A ticket or key may
   have run in an earlier incarnation. */
static void
refuse_execute(gv_kernel_t *k, gv_str_t from, const gv_message_t *m)
{
    gv_peers_t *peers = __atomic_load_n(&k->peers, __ATOMIC_ACQUIRE);
    if (m->kind != GV_MSG_EXECUTE || peers == NULL) {
        return;
    }
    gv_message_t r = {.kind = GV_MSG_RESULT, .number = m->number};
    r.u.result = GvAnswer_Refuse(
        m->u.execute.to_owner ? GV_OUTCOME_UNKNOWN : GV_OUTCOME_NOT_RUN, 503,
        GV_HEARTBEAT_MS, "the entry host is starting");
    (void)GvPeers_Send(peers, from, &r);
    GvAnswer_Free(&r.u.result);
}

/* Hands a peer's message to the modules that know its kind. Runs on the peer
   thread; the parts are started one after another. */
void
GvKernel_OnMessage(void *user, gv_str_t from, uint64_t from_incarnation,
                   const gv_message_t *m)
{
    gv_kernel_t *k = user;
    GvLedgerSync_OnMessage(k->ledgersync, from, m);
    if (!atomic_load(&k->private->ready)) {
        refuse_execute(k, from, m);
        return;
    }
    GvForward_OnMessage(k->forward, from, m);
    GvLending_OnMessage(k->lending, from, m);
    if (m->kind == GV_MSG_HEARTBEAT) {
        const gv_msg_heartbeat_t *h = &m->u.heartbeat;
        GvProber_OnPeer(k->prober, from, from_incarnation, h->health,
                        h->n_health);
        GvMaintain_OnHeartbeat(k->maintain, from, h);
    }
}

/* Returns the region of a member: that of the own data centre, else what the
   peer module knows from its HELLO or from the node settings. */
static gv_str_t
region_of(gv_kernel_t *k, const gv_member_t *m, const GArray *known)
{
    if (GvStr_Equal(m->dc, k->conf.dc)) {
        return k->conf.region;
    }
    for (guint i = 0; i < known->len; i++) {
        const gv_peer_info_t *p = &g_array_index(known, gv_peer_info_t, i);
        if (GvStr_Equal(GvStr_C(p->name), m->name)) {
            return GvStr_C(p->region);
        }
    }
    return GV_STR("");
}

/* Tells the peer module the addresses of the members. */
void
GvKernel_SetPeers(gv_kernel_t *k)
{
    gv_peers_t *peers = __atomic_load_n(&k->peers, __ATOMIC_ACQUIRE);
    if (peers == NULL) {
        return;
    }
    GArray *known = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, known);
    const gv_view_t *v = GvView_Acquire(k->views);
    for (int i = 0; i < v->n_members; i++) {
        const gv_member_t *m = &v->members[i];
        if (!GvStr_Equal(m->name, k->conf.name)) {
            gv_peer_addr_t a = {.name = m->name,
                                .dc = m->dc,
                                .region = region_of(k, m, known),
                                .addr = m->peer_addr};
            GvPeers_SetAddr(peers, &a);
        }
    }
    GvView_Release();
    g_array_free(known, TRUE);
}

/* Tells the prober the targets of the own data centre. */
void
GvKernel_SetTargets(gv_kernel_t *k)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(k->targets, rows, GvClock_MonoMs());
    gv_probe_target_t *t = g_new0(gv_probe_target_t, rows->len + 1);
    for (guint i = 0; i < rows->len; i++) {
        const gv_target_row_t *r = &g_array_index(rows, gv_target_row_t, i);
        t[i] = (gv_probe_target_t){GvStr_C(r->host), GvStr_C(r->addr)};
    }
    GvProber_SetTargets(k->prober, t, (int)rows->len);
    g_free(t);
    g_array_free(rows, TRUE);
}

/* Appends the names of the live peers of the own data centre. */
static void
live_members(gv_kernel_t *k, const GArray *peers, GArray *names)
{
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *p = &g_array_index(peers, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), k->conf.dc)) {
            gv_str_t name = GvStr_C(p->name);
            g_array_append_val(names, name);
        }
    }
}

/* Tells whether a peer of the own data centre needs all health, because it is
   new, has restarted or was silent. */
static bool
is_uninformed(struct gv_kernel_private_s *p, const gv_peer_info_t *peer)
{
    const uint64_t *known = g_hash_table_lookup(p->informed, peer->name);
    if (!peer->alive) {
        g_hash_table_remove(p->informed, peer->name);
    }
    return peer->alive && (known == NULL || *known != peer->incarnation);
}

/* Sends one heartbeat to a peer of the own data centre: with all health when
   the peer needs it, else with the news. */
static void
send_near(gv_kernel_t *k, const gv_peer_info_t *peer, gv_message_t *m,
          const GArray *all, const GArray *news, bool due)
{
    struct gv_kernel_private_s *p = k->private;
    bool uninformed = is_uninformed(p, peer);
    if (!due && !uninformed && news->len == 0) {
        return;
    }
    const GArray *health = uninformed ? all : news;
    m->u.heartbeat.health = (gv_health_t *)health->data;
    m->u.heartbeat.n_health = (int)health->len;
    int err = GvPeers_Send(k->peers, GvStr_C(peer->name), m);
    if (err != GV_OK) {
        g_hash_table_remove(p->informed, peer->name);
    }
    else if (uninformed) {
        uint64_t *incarnation = g_new(uint64_t, 1);
        *incarnation = peer->incarnation;
        g_hash_table_replace(p->informed, g_strdup(peer->name), incarnation);
    }
}

/* Sends one heartbeat to each peer of the region that is due for one. Health
   concerns only the own data centre. */
static void
send_beats(gv_kernel_t *k, const GArray *peers, gv_message_t *m,
           const GArray *all, const GArray *news)
{
    struct gv_kernel_private_s *p = k->private;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvMessage_Pack(&sb, m);
    uint64_t hash = XXH3_64bits(sb.data, sb.size);
    msgpack_sbuffer_destroy(&sb);
    bool slow = p->beats % SLOW_BEATS == 0;
    bool changed = hash != p->beat_hash;
    p->beat_hash = hash;
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *peer = &g_array_index(peers, gv_peer_info_t, i);
        if (GvStr_Equal(GvStr_C(peer->dc), k->conf.dc)) {
            send_near(k, peer, m, all, news, slow || changed);
        }
        else if (slow && GvStr_Equal(GvStr_C(peer->region), k->conf.region)) {
            m->u.heartbeat.health = NULL;
            m->u.heartbeat.n_health = 0;
            GvPeers_Send(k->peers, GvStr_C(peer->name), m);
        }
    }
}

/* Returns what this heartbeat tells a peer that knows the state before: the
   changes, from time to time also the targets that must get no work, and now
   and then everything. The strings stay those of `all`. */
static GArray *
pick_news(const struct gv_kernel_private_s *p, const GArray *all)
{
    GArray *news = g_array_new(FALSE, FALSE, sizeof(gv_health_t));
    bool bad = p->beats % BAD_HEALTH_BEATS == 0;
    bool every = p->beats % ALL_HEALTH_BEATS == 0;
    for (guint i = 0; i < all->len; i++) {
        gv_health_t h = g_array_index(all, gv_health_t, i);
        if (every || (bad && (h.leaving || !h.healthy)) ||
            h.seen > p->sent_seen[1]) {
            g_array_append_val(news, h);
        }
    }
    return news;
}

/* Keeps the highest observation number of this and of the last heartbeat. */
static void
note_seen(struct gv_kernel_private_s *p, const GArray *health)
{
    p->sent_seen[1] = p->sent_seen[0];
    for (guint i = 0; i < health->len; i++) {
        const gv_health_t *h = &g_array_index(health, gv_health_t, i);
        p->sent_seen[0] = MAX(p->sent_seen[0], h->seen);
    }
}

/* Sends heartbeats when they are due. Timer thread. */
void
GvKernel_SendHeartbeats(gv_kernel_t *k, int64_t now_ms)
{
    struct gv_kernel_private_s *p = k->private;
    if (now_ms < p->beat_ms) {
        return;
    }
    p->beat_ms = now_ms + GV_HEARTBEAT_MS;
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(gv_load_t));
    GArray *health = g_array_new(FALSE, FALSE, sizeof(gv_health_t));
    GArray *names = g_array_new(FALSE, FALSE, sizeof(gv_str_t));
    GvPeers_List(k->peers, peers);
    live_members(k, peers, names);
    GvProber_SetMembers(k->prober, (gv_str_t *)names->data, (int)names->len);
    GvDispatch_Loads(k->dispatch, loads);
    p->beats++;
    GvProber_ListOwnReports(k->prober, 0, health);
    GArray *news = pick_news(p, health);
    note_seen(p, health);
    gv_message_t m = {.kind = GV_MSG_HEARTBEAT};
    m.u.heartbeat = (gv_msg_heartbeat_t){
        .list_version = GvProber_ListVersion(k->prober),
        .platform_ok = GvLogReader_PlatformOk(k->reader),
        .loads = (gv_load_t *)loads->data,
        .n_loads = (int)loads->len,
    };
    m.u.heartbeat.offset = GvLedger_NextOffset(GvReplica_Lock(k->replica));
    GvReplica_Unlock(k->replica);
    send_beats(k, peers, &m, health, news);
    g_array_free(news, TRUE);
    GvProber_ClearHealth(health);
    g_array_free(health, TRUE);
    g_array_free(names, TRUE);
    g_array_free(loads, TRUE);
    g_array_free(peers, TRUE);
}

/* Probes the targets whose connections are in doubt. Maintenance thread. */
void
GvKernel_ProbeSuspectTargets(gv_kernel_t *k)
{
    GArray *doubts = g_array_new(FALSE, FALSE, sizeof(gv_probe_request_t));
    GvTargets_TakeProbeRequests(k->targets, doubts);
    for (guint i = 0;
         i < doubts->len && !atomic_load(&k->private->threads_stop); i++) {
        const gv_probe_request_t *d =
            &g_array_index(doubts, gv_probe_request_t, i);
        gv_health_report_t r;
        if (GvProber_Probe(GvStr_C(d->addr), GV_PROBE_TIMEOUT_MS, &r) ==
            GV_OK) {
            GvTargets_RecordProbe(k->targets, GvStr_C(d->host),
                                  GvClock_MonoMs());
        }
    }
    g_array_free(doubts, TRUE);
}
