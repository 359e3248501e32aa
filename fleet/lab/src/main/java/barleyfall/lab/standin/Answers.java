package barleyfall.lab.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** What is owed on a connection: answers go out in the order of their commands, however they come. */
final class Answers {
    /** One answer's place in that order. */
    static final class Place {
        private String text;
    }

    private final ArrayDeque<Place> owed = new ArrayDeque<>();

    Place next() {
        Place p = new Place();
        owed.add(p);
        return p;
    }

    boolean isEmpty() {
        return owed.isEmpty();
    }

    /** Gives an answer; it is written once all before it are. */
    void give(ChannelHandlerContext ctx, Place place, String text) {
        place.text = text;
        while (!owed.isEmpty() && owed.peek().text != null) {
            ctx.write(Unpooled.copiedBuffer(owed.poll().text, StandardCharsets.ISO_8859_1));
        }
        ctx.flush();
    }
}
