/** Appends journal records in batches and says whether each took effect. */
export {}
