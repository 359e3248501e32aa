package barleyfall.lab.net;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The two directions between an edge node and another component, its peer, with the connections that are open
 * between them.
 */
public final class Link {
    private final OneWayLink toPeer;
    private final OneWayLink toEdge;
    private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
    private volatile LinkListener listener;

    /** Creates a link with its directions as the edge node sees them: outgoing and incoming. */
    public Link(OneWayLink toPeer, OneWayLink toEdge) {
        this.toPeer = toPeer;
        this.toEdge = toEdge;
    }

    /** Returns the direction from the edge node to the peer. */
    public OneWayLink toPeer() {
        return toPeer;
    }

    /** Returns the direction from the peer to the edge node. */
    public OneWayLink toEdge() {
        return toEdge;
    }

    /** Returns whether a connection can be established: neither direction is cut. */
    public boolean isPassable() {
        return !toPeer.isCut() && !toEdge.isCut();
    }

    /** Remembers an open connection until it closes. */
    void track(Channel channel) {
        openChannels.add(channel);
        channel.closeFuture().addListener(f -> openChannels.remove(channel));
    }

    /** Sets the listener that is told when the link is cut or healed. */
    void setListener(LinkListener newListener) {
        listener = newListener;
    }

    /**
     * Cuts or heals one direction or both. Data in transit is delivered after the link has healed, as TCP
     * would retransmit it.
     */
    public void setCut(boolean cut, boolean towardPeer, boolean towardEdge) {
        if (towardPeer) {
            toPeer.setCut(cut);
        }
        if (towardEdge) {
            toEdge.setCut(cut);
        }
        LinkListener current = listener;
        if (current != null) {
            current.setPassable(isPassable());
        }
    }

    /** Resets every open connection (RST). */
    public void reset() {
        openChannels.forEach(LinkHandler::reset);
    }
}
