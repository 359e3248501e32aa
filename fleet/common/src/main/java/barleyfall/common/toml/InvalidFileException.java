package barleyfall.common.toml;

import java.util.List;

/** A file has mistakes; the message has a line for each of them, with file, line and key. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> problems;

    /** Creates the exception from one line for each mistake. */
    InvalidFileException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /** One line for each mistake, in the order of the file. */
    public List<String> problems() {
        return problems;
    }
}
