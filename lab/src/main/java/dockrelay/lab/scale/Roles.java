package dockrelay.lab.scale;

import dockrelay.lab.scale.list.ListRole;
import dockrelay.lab.scale.load.LoadRole;
import dockrelay.lab.scale.members.BudgetsRole;
import dockrelay.lab.scale.members.MembersRole;
import dockrelay.lab.scale.tenants.TenantsRole;
import java.util.List;

/** Registry of all roles. */
public final class Roles {
    private static final List<Role> ROLES = List.of(
        new MembersRole(),
        new BudgetsRole(),
        new ListRole(),
        new TenantsRole(),
        new LoadRole()
    );

    private Roles() {
    }

    public static List<Role> allRoles() {
        return ROLES;
    }

    /** Finds a role by name; null if there is none. */
    public static Role findByName(String name) {
        return ROLES.stream().filter(role -> role.name().equals(name)).findFirst().orElse(null);
    }

    static String joinedNames() {
        return String.join(", ", ROLES.stream().map(Role::name).toList());
    }
}
