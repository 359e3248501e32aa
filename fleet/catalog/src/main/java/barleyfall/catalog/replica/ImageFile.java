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
 * The file format of a snapshot: eight bytes that identify the format and its version, the length and the
 * CRC-32C of the body, then the body in CBOR. A file with any bit damaged or missing is rejected.
 */
public final class ImageFile {
    private static final byte[] MAGIC = "BFLIST01".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADER_BYTES = MAGIC.length + Integer.BYTES + Long.BYTES;

    private ImageFile() { }

    /** The content of a snapshot file. */
    public static byte[] bytes(Image image) {
        byte[] body = Codec.bytes(image);
        return ByteBuffer.allocate(HEADER_BYTES + body.length).put(MAGIC).putInt(body.length)
            .putLong(crc32c(body)).put(body).array();
    }

    /** Reads the content of a snapshot file; throws an exception that says what is wrong with it. */
    public static Image read(byte[] bytes) throws IOException {
        if (bytes.length < HEADER_BYTES
            || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("this is not a snapshot of the list, or its format is of another version");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, MAGIC.length, HEADER_BYTES - MAGIC.length);
        int length = header.getInt();
        long crc = header.getLong();
        byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        if (body.length != length) {
            throw new IOException("its header announces " + length + " bytes, but it has " + body.length);
        }
        if (crc32c(body) != crc) {
            throw new IOException("its checksum (CRC-32C) is wrong: it was damaged after it was written");
        }
        return Codec.CBOR.readValue(body, Image.class);
    }

    /** Writes the file atomically and durably: to a temporary file that is synced and renamed. */
    static void write(Path file, Image image) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE,
            StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(bytes(image));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        // The rename itself is durable only once the directory is synced.
        try (FileChannel directory = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static long crc32c(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return crc.getValue();
    }
}
