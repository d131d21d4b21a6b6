/** Decides how long a program's cached prefix is held over a tool pause. */
export {}
