package barleyfall.lab.net;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Both ways between an edge node and another party, with the connections that are open on them. */
public final class Link {
    private final Way toParty;
    private final Way toEdge;
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();
    private volatile Door door;

    /** The ways as the edge node sees them: out, and back. */
    public Link(Way toParty, Way toEdge) {
        this.toParty = toParty;
        this.toEdge = toEdge;
    }

    /** From the edge node to the party. */
    public Way toParty() {
        return toParty;
    }

    /** From the party to the edge node. */
    public Way toEdge() {
        return toEdge;
    }

    /** No connection comes up while either way is cut. */
    public boolean passable() {
        return !toParty.isCut() && !toEdge.isCut();
    }

    void opened(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(f -> open.remove(channel));
    }

    void door(Door to) {
        door = to;
    }

    /**
     * Cuts or heals one way or both; what is on its way waits for the healing, as TCP sends it again then.
     */
    public void cut(boolean cut, boolean outward, boolean back) {
        if (outward) {
            toParty.cut(cut);
        }
        if (back) {
            toEdge.cut(cut);
        }
        Door stands = door;
        if (stands != null) {
            stands.pass(passable());
        }
    }

    /** Ends every open connection with a reset. */
    public void reset() {
        open.forEach(LinkHandler::reset);
    }
}
