package barleyfall.catalog.replica;

import barleyfall.catalog.model.Image;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The list in a file: eight letters, the version of the form, the length and the CRC-32C of what follows,
 * then CBOR. A file that is not whole to the last bit is not read.
 */
public final class ImageFile {
    private static final byte[] LETTERS = "BFLIST01".getBytes(StandardCharsets.US_ASCII);
    private static final int HEAD = LETTERS.length + Integer.BYTES + Long.BYTES;

    private ImageFile() { }

    /** The bytes of such a file. */
    public static byte[] bytes(Image image) {
        byte[] body = Codec.bytes(image);
        return ByteBuffer.allocate(HEAD + body.length).put(LETTERS).putInt(body.length).putLong(crc(body))
            .put(body).array();
    }

    /** Reads such bytes; throws with what is wrong with them. */
    public static Image read(byte[] bytes) throws IOException {
        if (bytes.length < HEAD || !Arrays.equals(bytes, 0, LETTERS.length, LETTERS, 0, LETTERS.length)) {
            throw new IOException("this is no list of ours, or one of another version of the program");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, LETTERS.length, HEAD - LETTERS.length);
        int length = in.getInt();
        long crc = in.getLong();
        byte[] body = Arrays.copyOfRange(bytes, HEAD, bytes.length);
        if (body.length != length) {
            throw new IOException("it should hold " + length + " bytes and holds " + body.length);
        }
        if (crc(body) != crc) {
            throw new IOException("its checksum (CRC-32C) is wrong: it was damaged after it was written");
        }
        return Codec.CBOR.readValue(body, Image.class);
    }

    /** Writes it whole or not at all: beside, synced, renamed, and the folder synced too. */
    static void write(Path file, Image image) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".part");
        try (FileChannel out = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(bytes(image));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static long crc(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return crc.getValue();
    }
}
