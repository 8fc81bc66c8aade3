package appleridge.config.operator;

/**
 * An enum constant that an operator's file can name. The word stands apart from the constant's
 * name, so that a constant can be renamed without a change to the files.
 */
public interface SettingWord {
    /** The constant as the file spells it; unique within its enum. */
    String settingWord();
}
