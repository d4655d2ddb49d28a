package warm
internal val xrequest = 1
