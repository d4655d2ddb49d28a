package warm
internal val xprograms = 1
